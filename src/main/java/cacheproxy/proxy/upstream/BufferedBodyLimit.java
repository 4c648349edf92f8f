package cacheproxy.proxy.upstream;

import cacheproxy.proxy.request.MetaCodec;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * Limits how many long bodies of the origin are buffered at once because their length was not announced. Bodies beyond
 * the limit wait in order of arrival; each connection has at most one.
 */
final class BufferedBodyLimit {
    private final EventLoop loop;
    private final int maxBodies;
    private int bodies;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    /**
     * @param maxValueBytes the memory for the values of writes; the limit is the number of bodies of maximum length
     *     that fit into as much memory, and at least one
     */
    BufferedBodyLimit(EventLoop loop, long maxValueBytes) {
        this.loop = loop;
        maxBodies = (int) Math.max(1, maxValueBytes / MetaCodec.MAX_VALUE_BYTES);
    }

    /**
     * Calls {@code onAcquired} once a body may be buffered, possibly from within this call. The caller must then call
     * {@link #release}.
     */
    void acquire(Runnable onAcquired) {
        if (bodies < maxBodies) {
            bodies++;
            onAcquired.run();
        } else {
            waiting.add(onAcquired);
        }
    }

    /** Releases an acquired slot, as its body is no longer buffered. */
    void release() {
        Runnable next = waiting.poll();
        if (next == null) {
            bodies--;
        } else {
            loop.execute(next); // not from within the event that released this slot
        }
    }
}
