package cacheproxy.proxy.upstream;

/**
 * What the connections of one event loop may use, and how they write.
 *
 * @param maxValueBytes what the values of pending writes may take together
 * @param maxServerConnections connections to all servers together
 * @param batchFlushes whether flushes wait for the end of a turn; see {@link cacheproxy.proxy.net.FlushBatcher}
 */
public record EventLoopLimits(long maxValueBytes, int maxServerConnections, boolean batchFlushes) {}
