/**
 * Event loop infrastructure that is independent of protocols and imports no other package of the proxy:
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.net.Transport}: the I/O implementation in use, epoll or NIO;
 *   <li>{@link cacheproxy.proxy.net.TimerWheel}: the timers of an event loop;
 *   <li>{@link cacheproxy.proxy.net.EventLoopClock}: the time on an event loop, and with
 *       {@link cacheproxy.proxy.net.PollClock} how long the loop has not polled its sockets;
 *   <li>{@link cacheproxy.proxy.net.TurnScheduler}: the share that each user has of a turn of the loop, and with
 *       {@link cacheproxy.proxy.net.LoadStatistics} what operators are told about it;
 *   <li>{@link cacheproxy.proxy.net.FlushBatcher}: one flush for everything that a turn of the loop writes to a
 *       connection;
 *   <li>{@link cacheproxy.proxy.net.StandardErrorLog}: a bounded number of lines on standard error;
 *   <li>{@link cacheproxy.proxy.net.NettyDefaults} and {@code NettyLog}: Netty's properties and its log;
 *   <li>{@link cacheproxy.proxy.net.HandlerInitializer}: the pipeline of a new channel.
 * </ul>
 *
 * <p>Clocks, timer wheels, schedulers, statistics, batchers and the log of lines belong to one event loop, and are used
 * on it unless a method says otherwise. The other types have no mutable state, apart from the line count of Netty's
 * log, which is synchronized.
 */
package cacheproxy.proxy.net;
