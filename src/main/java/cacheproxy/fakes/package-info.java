/**
 * Fake cache servers, origin, discovery and clients on loopback, and a reference model of nginx, for tests, the demo
 * and benchmarks.
 */
package cacheproxy.fakes;
