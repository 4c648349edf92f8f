package cacheproxy.daemon.snapshot;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.config.SnapshotConfig;
import cacheproxy.daemon.LearnedStateSource;
import cacheproxy.daemon.LearnedStates;
import cacheproxy.daemon.Subsystem;
import cacheproxy.daemon.SubsystemContext;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.EventLoopContext;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.SnapshotWriter;
import cacheproxy.snapshot.StoredSnapshot;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Keeps what the modules learn in a file, where one is configured, and gives it to modules that start. Reading is done
 * before the daemon begins, writing on a thread of its own; the event loop only puts together what is to be written.
 */
public final class SnapshotSubsystem implements Subsystem, LearnedStateSource {
    /** What a last write may take at the end of the process; the clients have had their answers by then. */
    private static final long FINISH_MS = 1000;
    /** A sibling's knowledge is of the same servers, but not from where this proxy stands. */
    static final double SIBLING_TRUST = 0.5;

    private final SnapshotConfig spec;
    private final EventLoopContext core;
    private final IntFunction<StateSnapshot> snapshot;
    /** Null where nothing is written. */
    private volatile SnapshotWriter writer;

    private SnapshotStore files;
    private volatile boolean ended;
    /** Null: nothing is remembered. */
    private StateSnapshot remembered;

    private double trust = 1;
    private final DaemonConfig file;
    private Future<?> ticks;

    private SnapshotSubsystem(
            DaemonConfig file, EventLoopContext core, IntFunction<StateSnapshot> snapshot, SnapshotStore files) {
        spec = file.section(SnapshotConfig.class);
        this.file = file;
        this.core = core;
        this.snapshot = snapshot;
        this.files = files;
        StoredSnapshot found = files == null ? null : files.read();
        if (found != null) {
            found.notes().forEach(n -> core.log("memory: " + n));
            use(found.content(), false, spec.path().toString());
            if (found.fromPreviousGeneration() && found.content() != null) {
                core.log("memory: goes by the generation before the newest");
            }
        }
        write();
    }

    private void write() {
        writer = files == null
                ? null
                : new SnapshotWriter(
                        files, spec.bytesPerSecond(), line -> core.loop().execute(() -> core.log(line)));
    }

    /**
     * One for this file; what can't be used is told in the log, and the daemon runs without. Blocks. Empty where
     * nothing is to be kept and there is no sibling's to start from.
     */
    public static Optional<SnapshotSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem before) {
        SnapshotConfig spec = file.section(SnapshotConfig.class);
        Path sibling = context.siblingSnapshot().get().orElse(null);
        if (spec == null && sibling == null) {
            return Optional.empty();
        }
        EventLoopContext core = context.core();
        SnapshotSubsystem old = (SnapshotSubsystem) before;
        if (old != null && spec != null && old.spec != null && old.spec.path().equals(spec.path())) {
            old.end(); // both would write there
        }
        SnapshotSubsystem keeper =
                new SnapshotSubsystem(file, core, context.learnedState(), spec == null ? null : lock(spec, core));
        keeper.remember(sibling);
        return Optional.of(keeper);
    }

    /** Null, and told in the log, where they can't be had. */
    private static SnapshotStore lock(SnapshotConfig spec, EventLoopContext core) {
        SnapshotStore files = SnapshotStore.at(spec.path());
        String why;
        try {
            why = files.tryLock() ? null : "another process keeps its memory there; give each a path of its own";
        } catch (IOException e) {
            why = SnapshotStore.describe(e);
        }
        if (why != null) {
            core.log("memory: can't use " + spec.path() + ": " + why + "; goes on without");
        }
        return why == null ? files : null;
    }

    @Override
    public boolean fits(DaemonConfig other) {
        return java.util.Objects.equals(spec, other.section(SnapshotConfig.class));
    }

    @Override
    public void restore(DaemonConfig asked) {
        if (ended && spec != null) {
            ended = false;
            files = lock(spec, core);
            if (files != null) {
                files.read(); // what stands there is what the next generation takes the place of
            }
            write();
        }
    }

    /** A sibling's memory, where there is none of one's own. Before the daemon begins; blocks. Null: none is given. */
    private void remember(Path sibling) {
        if (sibling == null) {
            return;
        }
        StoredSnapshot found = SnapshotStore.at(sibling).read();
        found.notes().forEach(n -> core.log("memory: " + n));
        if (remembered != null) {
            core.log("memory: " + sibling + " is not needed, this proxy's own is there");
        } else if (found.content() == null) {
            core.log("memory: " + sibling + " has nothing that can be used");
        } else {
            use(found.content(), true, sibling.toString());
        }
    }

    private void use(StateSnapshot content, boolean another, String path) {
        if (content == null) {
            return;
        }
        Optional<String> mismatch =
                content.mismatch(file.site().name(), file.site().proxyIndex(), core.now(), another);
        if (mismatch.isPresent()) {
            core.log("memory: " + path + " is not used: " + mismatch.get());
            return;
        }
        remembered = content;
        trust = another ? SIBLING_TRUST : 1;
        core.log("memory: " + path + ", " + Math.round((core.now() - content.writtenMs()) / 1000) + " s old"
                + (another ? ", a sibling's" : ""));
    }

    @Override
    public Dispatcher.Recollections recollections(DaemonConfig of, PoolConfig pool) {
        return remembered == null ? null : LearnedStates.recollections(remembered, trust, of, pool);
    }

    @Override
    public void restoreStartTimes(ServerStartTimes to, double now) {
        if (remembered != null) {
            remembered
                    .serverStarts(now, LearnedStates.addresses(file))
                    .forEach(b -> to.restore(b.id(), b.startMs(), b.down(), now));
        }
    }

    /** Begins to write, if it has not. */
    @Override
    public void apply(DaemonConfig other) {
        if (writer != null && ticks == null) {
            ticks = core.loop()
                    .scheduleWithFixedDelay(
                            this::offer,
                            Math.round(spec.periodMs()),
                            Math.round(spec.periodMs()),
                            TimeUnit.MILLISECONDS);
        }
    }

    private void offer() {
        if (!ended) {
            writer.offer(snapshot.apply(spec.maxHotKeys()));
        }
    }

    /** Files written and bytes in all, for measurements. */
    public long[] written() {
        return writer == null ? new long[2] : new long[] {writer.writeCount(), writer.byteCount()};
    }

    /** Writes a last time. */
    @Override
    public void finish() {
        if (writer != null && ticks != null) {
            ticks.cancel(false);
            StateSnapshot last = core.loop()
                    .submit(() -> snapshot.apply(spec.maxHotKeys()))
                    .syncUninterruptibly()
                    .getNow();
            try {
                writer.writeLast(last, FINISH_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        if (ticks != null) {
            ticks.cancel(false);
        }
    }

    /** Ends without another write. */
    @Override
    public void end() {
        if (ended) {
            return;
        }
        ended = true;
        if (writer != null) {
            try {
                writer.stopWithoutWriting();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        } else if (files != null) {
            files.close();
        }
    }
}
