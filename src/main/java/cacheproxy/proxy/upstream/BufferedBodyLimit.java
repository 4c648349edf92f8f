package cacheproxy.proxy.upstream;

import cacheproxy.proxy.request.MetaCodec;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * Bounds the origin's long bodies that are buffered whole at once, because their length was not announced. Those beyond
 * the bound wait in the order in which they came; each connection has one at most.
 */
final class BufferedBodyLimit {
    private final EventLoop loop;
    private final int maxBodies;
    private int bodies;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    /**
     * @param maxValueBytes the memory for the values of writes; bodies of the greatest length get as much, or one does
     */
    BufferedBodyLimit(EventLoop loop, long maxValueBytes) {
        this.loop = loop;
        maxBodies = (int) Math.max(1, maxValueBytes / MetaCodec.MAX_VALUE_BYTES);
    }

    /** Calls {@code onAcquired} once a body may be buffered, perhaps from within this call; then to be released. */
    void acquire(Runnable onAcquired) {
        if (bodies < maxBodies) {
            bodies++;
            onAcquired.run();
        } else {
            waiting.add(onAcquired);
        }
    }

    /** A body that was acquired is not buffered any more. */
    void release() {
        Runnable next = waiting.poll();
        if (next == null) {
            bodies--;
        } else {
            loop.execute(next); // not from within the event that released this one
        }
    }
}
