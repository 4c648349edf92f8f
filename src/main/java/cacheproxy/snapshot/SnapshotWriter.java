package cacheproxy.snapshot;

import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Writes what it is handed on a thread of its own, so that a slow disk delays nothing else. One may wait; a newer one
 * takes its place. After each write it rests until the bytes written are within their bound. A disk that fails is told
 * of once, and once more when it works again; the daemon goes on without.
 */
public final class SnapshotWriter {
    private final SnapshotStore files;
    private final double bytesPerMs;
    private final Consumer<String> log;
    private final Thread thread;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private StateSnapshot next;
    private boolean last;
    private boolean ended;
    private StateSnapshot written;
    private String fault;
    private long writes;
    private long bytes;

    /**
     * Starts.
     *
     * @param bytesPerSecond bound on what is written, over a time that is long against one write
     * @param log for lines to operators; called on the writer's thread
     */
    public SnapshotWriter(SnapshotStore files, double bytesPerSecond, Consumer<String> log) {
        this.files = files;
        bytesPerMs = bytesPerSecond / 1000;
        this.log = log;
        thread = new Thread(this::run, "memory");
        thread.setDaemon(true);
        thread.start();
    }

    /** Hands over what is to be written next. Never blocks for long. */
    public void offer(StateSnapshot r) {
        lock.lock();
        try {
            if (!last) {
                next = r;
                changed.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Writes this as the last, at once, and ends; returns when it is written, or after so long. */
    public void finish(StateSnapshot r, long waitMs) throws InterruptedException {
        lock.lock();
        try {
            next = r;
            last = true;
            changed.signalAll();
            long left = TimeUnit.MILLISECONDS.toNanos(waitMs);
            while (!ended && left > 0) {
                left = changed.awaitNanos(left);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Ends without another write, as when the process is killed; one that runs is completed first. */
    public void abandon() throws InterruptedException {
        lock.lock();
        try {
            next = null;
            last = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
        thread.join();
    }

    /** Files written so far. */
    public long writes() {
        lock.lock();
        try {
            return writes;
        } finally {
            lock.unlock();
        }
    }

    /** Bytes written so far. */
    public long bytes() {
        lock.lock();
        try {
            return bytes;
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        try {
            for (StateSnapshot r; (r = take()) != null; ) {
                if (!same(r, written)) {
                    rest(write(r));
                }
            }
        } catch (InterruptedException e) {
            // nobody interrupts it; if somebody does, it ends
        } finally {
            files.close();
            lock.lock();
            ended = true;
            changed.signalAll();
            lock.unlock();
        }
    }

    /** The next one; null: there will be none. */
    private StateSnapshot take() throws InterruptedException {
        lock.lock();
        try {
            while (next == null && !last) {
                changed.await();
            }
            StateSnapshot r = next;
            next = null;
            return r;
        } finally {
            lock.unlock();
        }
    }

    private int write(StateSnapshot r) {
        int size = 0;
        String why = null;
        try {
            size = files.write(r);
            written = r;
        } catch (IOException e) {
            why = SnapshotStore.reason(e);
        } catch (IllegalArgumentException e) {
            why = e.getMessage();
        }
        lock.lock();
        writes += why == null ? 1 : 0;
        bytes += size;
        lock.unlock();
        if (why != null && !why.equals(fault)) {
            log.accept("memory: can't write: " + why + "; goes on without");
        } else if (why == null && fault != null) {
            log.accept("memory: writes again");
        }
        fault = why;
        return size;
    }

    /** Whether nothing has happened but that time went by. */
    private static boolean same(StateSnapshot a, StateSnapshot b) {
        return b != null && a.pools().equals(b.pools()) && a.serverStarts().equals(b.serverStarts());
    }

    private void rest(int size) throws InterruptedException {
        long left = (long) (size / bytesPerMs * 1e6);
        lock.lock();
        try {
            while (left > 0 && !last) {
                left = changed.awaitNanos(left);
            }
        } finally {
            lock.unlock();
        }
    }
}
