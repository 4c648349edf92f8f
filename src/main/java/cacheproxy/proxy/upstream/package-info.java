/**
 * The connections to servers: cache servers and siblings by the meta text protocol, the origin by HTTP/1.1.
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.upstream.UpstreamRegistry} has the servers of all pools of an event loop, and
 *       {@link cacheproxy.proxy.upstream.Upstream} the connections to one of them. It decides when connections are
 *       opened and closed; its {@code ConnectionSelector} which of them takes an attempt.
 *   <li>{@link cacheproxy.proxy.upstream.UpstreamConnection} has the attempts on one connection, in the order in which
 *       their responses come. It decides how they end if the connection does; its {@code AttemptWriter} when they are
 *       written, and its {@code ResponseReceiver} hands each response to its attempt and controls reading.
 *   <li>{@code CacheCodec} and {@code OriginCodec} read the two protocols; each keeps the state of the response that is
 *       being received.
 *   <li>{@link cacheproxy.proxy.upstream.Attempt} is what a connection knows of an exchange. Its subclass, outside this
 *       package, is told of its progress and its end.
 *   <li>{@link cacheproxy.proxy.upstream.EventLoopContext} has what the users of one event loop share, and the limits
 *       on memory and connections.
 * </ul>
 *
 * <p>Everything is owned by one event loop and used on it, unless a method says otherwise.
 */
package cacheproxy.proxy.upstream;
