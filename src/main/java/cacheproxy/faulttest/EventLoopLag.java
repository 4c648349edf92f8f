package cacheproxy.faulttest;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** How late an event loop is, by a task that should run every so often. */
final class EventLoopLag {
    private static final long EVERY_NANOS = 10_000_000;

    private final Histogram micros = new ConcurrentHistogram(3_600_000_000L, 2);
    private volatile long due;
    private volatile long lastLate;

    static EventLoopLag of(EventLoop loop) {
        EventLoopLag lag = new EventLoopLag();
        lag.due = System.nanoTime() + EVERY_NANOS;
        lag.next(loop);
        return lag;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void next(EventLoop loop) {
        if (!loop.isShuttingDown()) {
            loop.schedule(
                    () -> {
                        long late = Math.max(0, System.nanoTime() - due);
                        lastLate = late;
                        micros.recordValue(Math.min(3_600_000_000L, late / 1000));
                        due = System.nanoTime() + EVERY_NANOS;
                        next(loop);
                    },
                    EVERY_NANOS,
                    TimeUnit.NANOSECONDS);
        }
    }

    /** How late what the loop sees now may be, microseconds. */
    long nowUs() {
        return Math.max(lastLate, Math.max(0, System.nanoTime() - due)) / 1000;
    }

    double p99Ms() {
        return micros.getValueAtPercentile(99) / 1000.0;
    }

    double maxMs() {
        return micros.getMaxValue() / 1000.0;
    }
}
