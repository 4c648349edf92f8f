/**
 * Communicates with the discovery service over HTTP/1.1, and with the other proxies of the tier by datagrams. The
 * package {@link cacheproxy.discovery} decides when to poll; this package does the I/O:
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.discovery.DiscoveryClient} follows one pool's list and passes it on.
 *       {@code ListVersion} keeps the version of the list, {@code LongPollLoop} the poll in flight.
 *   <li>{@code DiscoveryConnection} carries one request at a time, {@code EndpointListParser} parses the responses, and
 *       {@code SilentWatchMonitor} replaces a long poll that seems to have failed silently.
 *   <li>{@link cacheproxy.proxy.discovery.PeerSocket} sends and receives the messages between proxies.
 * </ul>
 *
 * <p>All state belongs to the event loop on which its owner was created, and is used there only.
 */
package cacheproxy.proxy.discovery;
