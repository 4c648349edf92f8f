package cacheproxy.proxy.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * Delays flushes to the end of a turn of the event loop, so that everything that one turn writes to a connection takes
 * one system call. This saves CPU time at high rates. A process that is limited to a fraction of a core may be stopped
 * within a turn, which would delay all its responses, so batching can be disabled; a flush then runs at once. Used on
 * its event loop only.
 */
public final class FlushBatcher {
    private final EventLoop loop;
    private final boolean enabled;
    private final ArrayDeque<Runnable> pending = new ArrayDeque<>();
    private final Runnable runPending = this::runPending;

    /** Creates a batcher; if it is not enabled, it runs each flush at once. */
    public FlushBatcher(EventLoop loop, boolean enabled) {
        this.loop = loop;
        this.enabled = enabled;
    }

    /** Runs the flush. Each connection has at most one flush pending, which bounds the number of pending flushes. */
    public void flushLater(Runnable flush) {
        if (!enabled) {
            flush.run();
            return;
        }
        pending.add(flush);
        if (pending.size() == 1) {
            loop.execute(runPending);
        }
    }

    private void runPending() {
        for (int left = pending.size(); left > 0; left--) {
            pending.poll().run();
        }
        if (!pending.isEmpty()) {
            loop.execute(runPending);
        }
    }
}
