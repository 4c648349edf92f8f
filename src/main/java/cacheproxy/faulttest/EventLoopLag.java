package cacheproxy.faulttest;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Measures the lag of an event loop by a periodic task. Written on the loop, read from any thread. */
final class EventLoopLag {
    private static final long PERIOD_NANOS = 10_000_000;
    private static final long MAX_RECORDED_US = 3_600_000_000L;

    private final Histogram lagUs = new ConcurrentHistogram(MAX_RECORDED_US, 2);
    private volatile long dueNanos;
    private volatile long lastLagNanos;

    private EventLoopLag() {}

    /** Starts measuring; the measurement ends when the loop shuts down. */
    static EventLoopLag of(EventLoop loop) {
        EventLoopLag lag = new EventLoopLag();
        lag.dueNanos = System.nanoTime() + PERIOD_NANOS;
        lag.scheduleNext(loop);
        return lag;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void scheduleNext(EventLoop loop) {
        if (!loop.isShuttingDown()) {
            loop.schedule(() -> measure(loop), PERIOD_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void measure(EventLoop loop) {
        long lagNanos = Math.max(0, System.nanoTime() - dueNanos);
        lastLagNanos = lagNanos;
        lagUs.recordValue(Math.min(MAX_RECORDED_US, lagNanos / 1000));
        dueNanos = System.nanoTime() + PERIOD_NANOS;
        scheduleNext(loop);
    }

    /** The delay with which the loop can currently notice an event, microseconds. */
    long currentLagUs() {
        return Math.max(lastLagNanos, Math.max(0, System.nanoTime() - dueNanos)) / 1000;
    }

    /** The 99th percentile, milliseconds. */
    double p99Ms() {
        return lagUs.getValueAtPercentile(99) / 1000.0;
    }

    /** The maximum, milliseconds. */
    double maxMs() {
        return lagUs.getMaxValue() / 1000.0;
    }
}
