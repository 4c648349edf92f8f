package cacheproxy.proxy.process;

import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The end of a process that has been told to go: for {@link Listener}'s grace it listens on, as clients may not have
 * heard, then it answers what it has and takes nothing new.
 */
public final class GracefulShutdown {
    /** What an answer may take to reach its client once the last deadline is over. */
    private static final double LAST_MS = 150;

    private static final int LOOK_MS = 20;

    private final EventLoop loop;
    private final EventLoopContext core;
    private final double listenOnMs;
    private final BooleanSupplier empty;
    private final CountDownLatch ended = new CountDownLatch(1);
    private double listenEndsMs;
    private double drainEndsMs;

    /**
     * @param listenOnMs how long new connections are still taken
     * @param empty takes nothing new from now on, and says whether all is answered; called on the loop, again and again
     */
    public GracefulShutdown(EventLoop loop, EventLoopContext core, double listenOnMs, BooleanSupplier empty) {
        this.loop = loop;
        this.core = core;
        this.listenOnMs = listenOnMs;
        this.empty = empty;
    }

    /** Returns when all is answered, or the longest deadline, asked for on the loop, is over. */
    public void run(java.util.function.DoubleSupplier longestDeadlineMs) {
        loop.execute(() -> {
            listenEndsMs = core.now() + listenOnMs;
            drainEndsMs = listenEndsMs + longestDeadlineMs.getAsDouble() + LAST_MS;
            look();
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void look() {
        double now = core.now();
        if (now >= listenEndsMs && (empty.getAsBoolean() || now >= drainEndsMs)) {
            ended.countDown();
            return;
        }
        loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
    }
}
