/**
 * Checkers that judge a history of a fault test: at most one response, no effect twice, drains, mutual exclusion,
 * quotas. No I/O, no clocks.
 */
package cacheproxy.faulttest.check;
