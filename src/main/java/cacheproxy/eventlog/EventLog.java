package cacheproxy.eventlog;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.DoubleSupplier;

/**
 * A log of single events, one line each: {@code event t=SECONDS id=REQUEST name=value ...}. It is off until
 * {@link #enable} and may be switched at run time, from any thread. A thread of the log writes the lines, so that a
 * slow disk or a full pipe does not block an event loop. The number of queued lines is bounded, and so are the bytes
 * written each time the log is enabled; lines beyond a bound are dropped and counted.
 */
public final class EventLog implements AutoCloseable {
    /** The environment variable that enables the log from the start if its value is {@link #ENABLED_VALUE}. */
    public static final String ENVIRONMENT_VARIABLE = "CORALBAY_EVENT_LOG";
    /** The value of {@link #ENVIRONMENT_VARIABLE} that enables the log. */
    public static final String ENABLED_VALUE = "on";
    /** Default maximum of bytes written each time the log is enabled. */
    public static final long MAX_BYTES = 32L << 20;
    /** Default maximum of lines that wait to be written. */
    public static final int MAX_QUEUED_LINES = 4096;

    /** Longest time that {@link #close} waits for queued lines. */
    private static final long CLOSE_TIMEOUT_MS = 200;

    private final PrintStream target;
    private final DoubleSupplier clockMs;
    private final long maxBytes;
    private final int maxQueuedLines;
    private final ReentrantLock lock = new ReentrantLock();
    /** Signalled when a line is queued and when one has been written. */
    private final Condition changed = lock.newCondition();

    /** Guarded by the lock, as are the fields after it except for {@link #enabled}. */
    private final ArrayDeque<String> queue = new ArrayDeque<>();

    private long bytesLeft;
    private long droppedLines;
    private Thread writer;
    private boolean writing;
    private volatile boolean enabled;

    /**
     * Creates a log that is off.
     *
     * @param target where lines are written
     * @param clockMs the clock for the timestamps of lines, in milliseconds
     * @param maxBytes maximum of bytes written each time the log is enabled
     * @param maxQueuedLines maximum of lines that wait to be written
     */
    public EventLog(PrintStream target, DoubleSupplier clockMs, long maxBytes, int maxQueuedLines) {
        this.target = target;
        this.clockMs = clockMs;
        this.maxBytes = maxBytes;
        this.maxQueuedLines = maxQueuedLines;
    }

    /** Creates a log on standard error with the default bounds. It is enabled if the environment variable says so. */
    public static EventLog onStandardError(DoubleSupplier clockMs) {
        EventLog log = new EventLog(System.err, clockMs, MAX_BYTES, MAX_QUEUED_LINES);
        if (ENABLED_VALUE.equals(System.getenv(ENVIRONMENT_VARIABLE))) {
            log.enable();
        }
        return log;
    }

    /**
     * Returns whether lines are accepted. Callers check this before they build a line, so that a disabled log costs
     * little.
     */
    public boolean isEnabled() {
        return enabled;
    }

    /** Switches the log on or off. */
    public void setEnabled(boolean enabled) {
        if (enabled) {
            enable();
        } else {
            disable();
        }
    }

    /** Accepts lines from now on, and resets the bound on bytes. */
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

    /** Accepts no more lines; queued ones are still written. */
    public void disable() {
        enabled = false;
    }

    /** Returns the number of lines dropped since the start. */
    public long droppedLines() {
        lock.lock();
        try {
            return droppedLines;
        } finally {
            lock.unlock();
        }
    }

    /** Begins a line. Call it only if the log {@link #isEnabled}. */
    public EventLine line(ProxyEvent event) {
        return new EventLine(this, event, Math.round(clockMs.getAsDouble()));
    }

    /** Queues a line, or drops it if a bound is reached. */
    void offer(String line) {
        lock.lock();
        try {
            if (queue.size() >= maxQueuedLines || bytesLeft < line.length() + 1) {
                droppedLines++;
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
        long reportedDrops = 0;
        while (true) {
            String line;
            long drops;
            lock.lock();
            try {
                line = takeLine();
                drops = droppedLines;
            } catch (InterruptedException e) {
                return; // an interrupt asks the writer to stop
            } finally {
                lock.unlock();
            }
            if (drops > reportedDrops) {
                target.println(line(ProxyEvent.LINES_DROPPED).with("lines", drops - reportedDrops));
                reportedDrops = drops;
            }
            target.println(line);
        }
    }

    /** Waits for a queued line and removes it. Call it with the lock held. */
    private String takeLine() throws InterruptedException {
        writing = false;
        changed.signalAll();
        while (queue.isEmpty()) {
            changed.await();
        }
        writing = true;
        return queue.poll();
    }

    /** Accepts no more lines, and waits a short time for queued lines to be written. */
    @Override
    public void close() {
        disable();
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
        lock.lock();
        try {
            while (writer != null && (writing || !queue.isEmpty()) && remainingNanos > 0) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }
}
