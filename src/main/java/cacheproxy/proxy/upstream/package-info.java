/**
 * The connections to servers: to cache servers and siblings in the meta text protocol, and to the origin in HTTP/1.1.
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.upstream.UpstreamRegistry} has the servers of all pools of an event loop, and
 *       {@link cacheproxy.proxy.upstream.Upstream} the connections to one of them. It decides when connections are
 *       opened and closed; its {@code ConnectionSelector} selects the connection for an attempt.
 *   <li>{@link cacheproxy.proxy.upstream.UpstreamConnection} has the attempts on one connection, in the order in which
 *       their responses arrive. It decides how attempts end if the connection ends. Its {@code AttemptWriter} decides
 *       when they are written, and its {@code ResponseReceiver} passes each response to its attempt and controls
 *       reading.
 *   <li>{@code CacheCodec} and {@code OriginCodec} read the two protocols; each keeps the state of the response that is
 *       being received.
 *   <li>{@link cacheproxy.proxy.upstream.Attempt} is an exchange as seen by a connection. Its subclasses, outside this
 *       package, receive its progress and its end.
 *   <li>{@link cacheproxy.proxy.upstream.EventLoopContext} has the state that the users of one event loop share, and
 *       the limits on memory and connections.
 * </ul>
 *
 * <p>Everything is owned by one event loop and used on it, unless a method states otherwise.
 */
package cacheproxy.proxy.upstream;
