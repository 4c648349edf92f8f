/**
 * Talks to the discovery service over HTTP/1.1, and to the other proxies of the tier in datagrams. When to poll is
 * decided in {@link cacheproxy.discovery}; this package does the I/O:
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.discovery.DiscoveryClient} follows one pool's list and hands it on. Its version belongs
 *       to {@code ListVersion}, the poll in flight to {@code LongPollLoop}.
 *   <li>{@code DiscoveryConnection} carries one request at a time, {@code EndpointListParser} reads the responses, and
 *       {@code SilentWatchMonitor} replaces a long poll that seems to have failed silently.
 *   <li>{@link cacheproxy.proxy.discovery.PeerSocket} sends and receives the messages between proxies.
 * </ul>
 *
 * <p>All state belongs to the event loop on which its owner was created, and is used there only.
 */
package cacheproxy.proxy.discovery;
