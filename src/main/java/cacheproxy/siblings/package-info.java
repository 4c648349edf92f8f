/**
 * Whether sibling proxies are asked before the origin, which and for how long, and what their queries are answered. No
 * I/O, no clocks.
 */
package cacheproxy.siblings;
