package cacheproxy.daemon.snapshot;

import cacheproxy.config.SnapshotConfig;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.SnapshotWriter;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Saves the pools' learned state periodically and at the end of the process. Saves nothing if the snapshot file cannot
 * be locked.
 */
final class SnapshotSaver {
    /** Longest wait for the last write. By then all clients have received their responses. */
    private static final long MAX_LAST_WRITE_MS = 1000;

    private final SnapshotConfig config;
    private final EventLoopContext core;
    private final IntFunction<StateSnapshot> learnedState;

    /** Empty if the file could not be locked. Used off the event loop only. */
    private Optional<SnapshotStore> store;

    /** Null if nothing is written. Set off the event loop and read on it. */
    private volatile SnapshotWriter writer;

    private volatile boolean ended;

    /** Null if saving is not scheduled. */
    private Future<?> timer;

    /**
     * Creates a saver and starts the writer, if there is a locked store.
     *
     * @param learnedState provides the state to be saved, with at most the given number of hot keys per pool; called on
     *     the event loop
     */
    SnapshotSaver(
            SnapshotConfig config,
            EventLoopContext core,
            IntFunction<StateSnapshot> learnedState,
            Optional<SnapshotStore> store) {
        this.config = config;
        this.core = core;
        this.learnedState = learnedState;
        this.store = store;
        startWriter();
    }

    /** Locks the configured file. If that fails, logs the reason and returns empty. */
    static Optional<SnapshotStore> lockStore(SnapshotConfig config, EventLoopContext core) {
        SnapshotStore store = SnapshotStore.at(config.path());
        String failure;
        try {
            if (store.tryLock()) {
                return Optional.of(store);
            }
            failure = "another process keeps its memory there; give each process its own path";
        } catch (IOException e) {
            failure = SnapshotStore.describe(e);
        }
        core.log("memory: can't use " + config.path() + ": " + failure + "; goes on without");
        return Optional.empty();
    }

    private void startWriter() {
        writer = store.map(locked -> new SnapshotWriter(locked, config.bytesPerSecond(), this::logFromWriter))
                .orElse(null);
    }

    private void logFromWriter(String line) {
        core.loop().execute(() -> core.log(line));
    }

    /** Starts saving periodically, unless it has been started before. On the event loop. */
    void schedule() {
        if (writer != null && timer == null) {
            long periodMs = Math.round(config.periodMs());
            timer = core.loop().scheduleWithFixedDelay(this::save, periodMs, periodMs, TimeUnit.MILLISECONDS);
        }
    }

    private void save() {
        if (!ended) {
            writer.offer(learnedState.apply(config.maxHotKeys()));
        }
    }

    /** Stops saving periodically. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Saves a last time, if saving was scheduled. Blocks until the snapshot is written or the wait times out. */
    void saveLast() {
        if (writer == null || timer == null) {
            return;
        }
        timer.cancel(false);
        StateSnapshot last = core.loop()
                .submit(() -> learnedState.apply(config.maxHotKeys()))
                .syncUninterruptibly()
                .getNow();
        try {
            writer.writeLast(last, MAX_LAST_WRITE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops without writing again and releases the file; blocks. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        if (writer == null) {
            store.ifPresent(SnapshotStore::close);
            return;
        }
        try {
            writer.stopWithoutWriting();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Locks the file again and resumes saving, if this saver has ended for a replacement that was then rejected;
     * blocks.
     */
    void restart() {
        if (!ended) {
            return;
        }
        ended = false;
        store = lockStore(config, core);
        store.ifPresent(SnapshotStore::read); // reading determines the generation that the next write replaces
        startWriter();
    }

    /** Returns how much the current writer has written. */
    WriteTotals writeTotals() {
        return writer == null ? new WriteTotals(0, 0) : new WriteTotals(writer.writeCount(), writer.byteCount());
    }
}
