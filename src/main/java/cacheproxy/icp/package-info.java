/**
 * Codec of ICP version 2 (RFC 2186): datagrams to messages and back. Malformed datagrams are an exception without a
 * stack trace.
 */
package cacheproxy.icp;
