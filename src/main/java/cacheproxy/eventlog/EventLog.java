package cacheproxy.eventlog;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.DoubleSupplier;

/**
 * A log of single events, one line each: {@code event t=SECONDS id=REQUEST name=value ...}. It is off until
 * {@link #enable} and may be switched at run time, from any thread. Lines are written by a thread of the log's own, so
 * that a slow disk or a full pipe holds up no event loop; a bounded number waits for it, and a bounded number of bytes
 * is written each time the log is enabled. What is beyond either bound is dropped and counted.
 */
public final class EventLog implements AutoCloseable {
    /** The environment variable that enables the log from the start, with the value {@link #ENABLED}. */
    public static final String VARIABLE = "CORALBAY_EVENT_LOG";
    /** The value of {@link #VARIABLE} that enables the log. */
    public static final String ENABLED = "on";
    /** Bytes written each time the log is enabled. */
    public static final long MAX_BYTES = 32L << 20;
    /** Lines that wait to be written. */
    public static final int MAX_QUEUED_LINES = 4096;

    private static final int MAX_LINE = 500;
    private static final long CLOSE_TIMEOUT_MS = 200;

    private final PrintStream target;
    private final DoubleSupplier clockMs;
    private final long maxBytes;
    private final int maxQueuedLines;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    /** The rest is guarded by the lock. */
    private final ArrayDeque<String> queue = new ArrayDeque<>();

    private long bytesLeft;
    private long dropped;
    private Thread writer;
    private boolean writing;
    private volatile boolean enabled;

    /**
     * @param target where lines go
     * @param clockMs the time that lines bear, milliseconds
     * @param maxBytes bytes written each time the log is enabled
     * @param maxQueuedLines lines that wait to be written
     */
    public EventLog(PrintStream target, DoubleSupplier clockMs, long maxBytes, int maxQueuedLines) {
        this.target = target;
        this.clockMs = clockMs;
        this.maxBytes = maxBytes;
        this.maxQueuedLines = maxQueuedLines;
    }

    /** One on standard error with the usual bounds, enabled if the environment says so. */
    public static EventLog onStandardError(DoubleSupplier clockMs) {
        EventLog log = new EventLog(System.err, clockMs, MAX_BYTES, MAX_QUEUED_LINES);
        if (ENABLED.equals(System.getenv(VARIABLE))) {
            log.enable();
        }
        return log;
    }

    /** Whether lines are taken. Callers look first, so that a log that is off costs nothing but this. */
    public boolean isEnabled() {
        return enabled;
    }

    /** Takes lines from now on, as many bytes as the bound allows anew. */
    public void enable() {
        lock.lock();
        try {
            bytesLeft = maxBytes;
            enabled = true;
            if (writer == null) {
                writer = new Thread(this::writeLines, "event-log");
                writer.setDaemon(true);
                writer.start();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Switches it on or off. */
    public void enabled(boolean on) {
        if (on) {
            enable();
        } else {
            disable();
        }
    }

    /** Takes no more lines; those that wait are still written. */
    public void disable() {
        enabled = false;
    }

    /** Lines dropped since the start. */
    public long dropped() {
        lock.lock();
        try {
            return dropped;
        } finally {
            lock.unlock();
        }
    }

    /** Begins a line. Only where {@link #isEnabled}. */
    public Line line(ProxyEvent event) {
        return new Line(event);
    }

    /** A line that is put together and then written. */
    public final class Line {
        private final StringBuilder text = new StringBuilder(120);

        private Line(ProxyEvent event) {
            long ms = Math.round(clockMs.getAsDouble());
            text.append(event.label())
                    .append(" t=")
                    .append(ms / 1000)
                    .append('.')
                    .append(Long.toString(1000 + ms % 1000), 1, 4);
        }

        /** Adds a field. Spaces and control characters in the value are replaced, so that fields can be told apart. */
        public Line with(String name, Object value) {
            text.append(' ').append(name).append('=');
            String word = String.valueOf(value);
            for (int i = 0; i < word.length(); i++) {
                char c = word.charAt(i);
                text.append(c <= ' ' || c > '~' ? '_' : c);
            }
            return this;
        }

        /** Adds a time in milliseconds, with one decimal. */
        public Line withMs(String name, double ms) {
            return with(name, Math.round(ms * 10) / 10.0);
        }

        /** Hands the line to the writer, or drops it where a bound is reached. */
        public void write() {
            offer(text.length() > MAX_LINE ? text.substring(0, MAX_LINE) : text.toString());
        }
    }

    private void offer(String line) {
        lock.lock();
        try {
            if (queue.size() >= maxQueuedLines || bytesLeft < line.length() + 1) {
                dropped++;
                return;
            }
            bytesLeft -= line.length() + 1;
            queue.add(line);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void writeLines() {
        long told = 0;
        while (true) {
            String line;
            long missing;
            lock.lock();
            try {
                writing = false;
                changed.signalAll();
                while (queue.isEmpty()) {
                    changed.await();
                }
                line = queue.poll();
                missing = dropped;
                writing = true;
            } catch (InterruptedException e) {
                return;
            } finally {
                lock.unlock();
            }
            if (missing > told) {
                target.println(new Line(ProxyEvent.LINES_DROPPED).with("lines", missing - told).text);
                told = missing;
            }
            target.println(line);
        }
    }

    /** Waits a moment until what waits is written, and takes no more. */
    @Override
    public void close() {
        disable();
        long left = TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
        lock.lock();
        try {
            while (writer != null && (writing || !queue.isEmpty()) && left > 0) {
                left = changed.awaitNanos(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }
}
