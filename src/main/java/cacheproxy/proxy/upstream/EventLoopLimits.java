package cacheproxy.proxy.upstream;

/**
 * Resource limits of the connections of one event loop, and how they flush.
 *
 * @param maxValueBytes the maximum total size of the values of pending writes
 * @param maxServerConnections the maximum number of connections to all servers together
 * @param batchFlushes whether flushes are delayed to the end of a turn of the loop; see
 *     {@link cacheproxy.proxy.net.FlushBatcher}
 */
public record EventLoopLimits(long maxValueBytes, int maxServerConnections, boolean batchFlushes) {}
