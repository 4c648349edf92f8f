/**
 * Starts many processes of the program, puts relays and faults between them, and writes a history of what was seen from
 * outside.
 */
package cacheproxy.faulttest;
