package cacheproxy.proxy.process;

import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * The graceful shutdown of a process. The process keeps listening for a grace period, as clients may not know of the
 * shutdown yet, and then responds to its pending requests, at most until the longest deadline. Clients that send
 * requests on open connections all the while are read no further then, and what they have sent is concluded.
 */
public final class GracefulShutdown {
    /** How long a response may take to reach its client after the last deadline. */
    private static final double LAST_RESPONSE_MS = 150;

    /** How long the last responses have at least, if the process was held up at the longest deadline. */
    private static final double MIN_CONCLUSION_MS = 40;

    private static final int POLL_INTERVAL_MS = 20;

    private final EventLoop loop;
    private final EventLoopContext loopContext;
    private final double listenGraceMs;
    private final BooleanSupplier drained;
    private final Runnable conclude;
    private final CountDownLatch ended = new CountDownLatch(1);
    private double listenEndsMs;
    private double drainEndsMs;
    private boolean concluded;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param listenGraceMs how long connections are still accepted, in milliseconds
     * @param drained stops accepting requests, and returns whether all requests have their responses; called repeatedly
     *     on the event loop after the grace period
     * @param conclude reads no further requests and responds to all that were read; called on the event loop at the
     *     longest deadline
     */
    public GracefulShutdown(
            EventLoop loop,
            EventLoopContext loopContext,
            double listenGraceMs,
            BooleanSupplier drained,
            Runnable conclude) {
        this.loop = loop;
        this.loopContext = loopContext;
        this.listenGraceMs = listenGraceMs;
        this.drained = drained;
        this.conclude = conclude;
    }

    /**
     * Shuts down; returns when all requests have their responses or the longest deadline is over, or when the thread is
     * interrupted. Must not be called on the event loop.
     *
     * @param longestDeadlineMs supplies the longest deadline; called once on the event loop
     */
    public void run(DoubleSupplier longestDeadlineMs) {
        loop.execute(() -> {
            double nowMs = loopContext.nowMs();
            listenEndsMs = nowMs + listenGraceMs;
            double concludeMs = listenEndsMs + longestDeadlineMs.getAsDouble();
            drainEndsMs = concludeMs + LAST_RESPONSE_MS;
            loopContext.after(concludeMs - nowMs, this::conclude);
            poll();
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A process that is late still has the time to tell its clients. */
    private void conclude() {
        conclude.run();
        concluded = true;
        drainEndsMs = Math.max(drainEndsMs, loopContext.nowMs() + MIN_CONCLUSION_MS);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void poll() {
        double nowMs = loopContext.nowMs();
        if (nowMs >= listenEndsMs && (drained.getAsBoolean() || (concluded && nowMs >= drainEndsMs))) {
            ended.countDown();
            return;
        }
        loop.schedule(this::poll, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
}
