/**
 * Follows the endpoint list of a discovery service by HTTP polls and long polls, and exchanges what proxies tell each
 * other by datagrams. When to poll is decided in {@link cacheproxy.discovery}.
 */
package cacheproxy.proxy.discovery;
