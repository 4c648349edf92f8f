/**
 * Event loop infrastructure that knows no protocol and imports no other package of the proxy:
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.net.Transport}: the I/O implementation in use, epoll or NIO;
 *   <li>{@link cacheproxy.proxy.net.TimerWheel}: the timers of an event loop;
 *   <li>{@link cacheproxy.proxy.net.PollClock}: how long an event loop has not polled its sockets;
 *   <li>{@link cacheproxy.proxy.net.NettyDefaults} and {@code NettyLog}: Netty's properties and its log;
 *   <li>{@link cacheproxy.proxy.net.HandlerInitializer}: the pipeline of a new channel.
 * </ul>
 *
 * <p>A timer wheel and a poll clock belong to one event loop and are used on it only. The other types have no state
 * that changes, apart from the log's line count, which is synchronized.
 */
package cacheproxy.proxy.net;
