package cacheproxy.snapshot;

import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Writes snapshots on a thread of its own, so that a slow disk delays no caller.
 *
 * <p>At most one snapshot waits to be written; a newer one replaces it. After each write the thread pauses until the
 * rate of bytes is within its limit. A failing disk is reported once, and once more when it works again. All methods
 * may be called from any thread.
 */
public final class SnapshotWriter {
    private static final String THREAD_NAME = "memory";
    private static final double MS_PER_SECOND = 1000;
    private static final double NANOS_PER_MS = 1e6;

    private final SnapshotStore store;
    private final double maxBytesPerMs;
    private final Consumer<String> log;
    private final Thread thread;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();

    /**
     * The snapshot that waits to be written; null if there is none. Guarded by the lock, like all fields up to
     * {@link #byteCount}.
     */
    private StateSnapshot pendingSnapshot;

    /** Whether no snapshot is accepted after {@link #pendingSnapshot}. */
    private boolean closing;

    private boolean ended;
    private long writeCount;
    private long byteCount;

    /** The last snapshot that was written. Used only by the writer's thread, like {@link #lastFault}. */
    private StateSnapshot lastWritten;

    /** Why the last write failed; null if it succeeded. */
    private String lastFault;

    /**
     * Starts the writer's thread, which closes the store when it ends.
     *
     * @param maxBytesPerSecond maximum rate of bytes written, averaged over a time that is long compared to one write
     * @param log receives lines for operators, on the writer's thread
     */
    public SnapshotWriter(SnapshotStore store, double maxBytesPerSecond, Consumer<String> log) {
        this.store = store;
        maxBytesPerMs = maxBytesPerSecond / MS_PER_SECOND;
        this.log = log;
        thread = new Thread(this::run, THREAD_NAME);
        thread.setDaemon(true);
        thread.start();
    }

    /** Accepts the snapshot to be written next. Does not wait for the disk. */
    public void offer(StateSnapshot snapshot) {
        lock.lock();
        try {
            if (!closing) {
                pendingSnapshot = snapshot;
                changed.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Writes a last snapshot at once and ends the thread; returns when it is written, or after {@code maxWaitMs}. */
    public void writeLast(StateSnapshot snapshot, long maxWaitMs) throws InterruptedException {
        lock.lock();
        try {
            beginClosing(snapshot);
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(maxWaitMs);
            while (!ended && remainingNanos > 0) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Ends the thread without another write; a write in progress is completed first. */
    public void stopWithoutWriting() throws InterruptedException {
        lock.lock();
        try {
            beginClosing(null);
        } finally {
            lock.unlock();
        }
        thread.join();
    }

    /** Stops accepting snapshots after {@code lastSnapshot}. The caller must hold the lock. */
    private void beginClosing(StateSnapshot lastSnapshot) {
        pendingSnapshot = lastSnapshot;
        closing = true;
        changed.signalAll();
    }

    /** Returns the number of files written so far. */
    public long writeCount() {
        lock.lock();
        try {
            return writeCount;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of bytes written so far. */
    public long byteCount() {
        lock.lock();
        try {
            return byteCount;
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        try {
            StateSnapshot snapshot = takePending();
            while (snapshot != null) {
                if (!hasSameContent(snapshot, lastWritten)) {
                    pauseAfter(write(snapshot));
                }
                snapshot = takePending();
            }
        } catch (InterruptedException e) {
            // No code interrupts this thread; if it is interrupted nevertheless, it ends.
        } finally {
            store.close();
            lock.lock();
            try {
                ended = true;
                changed.signalAll();
            } finally {
                lock.unlock();
            }
        }
    }

    /** Waits for the next snapshot; returns null if there will be none. */
    private StateSnapshot takePending() throws InterruptedException {
        lock.lock();
        try {
            while (pendingSnapshot == null && !closing) {
                changed.await();
            }
            StateSnapshot taken = pendingSnapshot;
            pendingSnapshot = null;
            return taken;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of bytes written, 0 if the write failed. */
    private int write(StateSnapshot snapshot) {
        int size = 0;
        String reason = null;
        try {
            size = store.write(snapshot);
            lastWritten = snapshot;
        } catch (IOException e) {
            reason = SnapshotStore.describe(e);
        } catch (IllegalArgumentException e) {
            reason = e.getMessage(); // the snapshot does not fit into a file
        }
        countWrite(reason == null, size);
        if (reason != null && !reason.equals(lastFault)) {
            log.accept("memory: can't write: " + reason + "; goes on without");
        } else if (reason == null && lastFault != null) {
            log.accept("memory: writes again");
        }
        lastFault = reason;
        return size;
    }

    private void countWrite(boolean succeeded, int size) {
        lock.lock();
        try {
            writeCount += succeeded ? 1 : 0;
            byteCount += size;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether two snapshots have the same state, regardless of their times. */
    private static boolean hasSameContent(StateSnapshot snapshot, StateSnapshot other) {
        return other != null
                && snapshot.pools().equals(other.pools())
                && snapshot.serverStarts().equals(other.serverStarts());
    }

    private void pauseAfter(int bytes) throws InterruptedException {
        long remainingNanos = (long) (bytes / maxBytesPerMs * NANOS_PER_MS);
        lock.lock();
        try {
            while (remainingNanos > 0 && !closing) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
        } finally {
            lock.unlock();
        }
    }
}
