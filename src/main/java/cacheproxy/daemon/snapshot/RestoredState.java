package cacheproxy.daemon.snapshot;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.daemon.LearnedStateSource;
import cacheproxy.daemon.LearnedStates;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.proxy.dispatch.LearnedStateProvider;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.StoredSnapshot;
import cacheproxy.snapshot.state.StateSnapshot;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The state that pools start from: this proxy's own snapshot or, if there is none, the snapshot of another proxy of its
 * tier. Snapshots are read, which blocks, before the daemon serves requests; afterwards the state is used on the event
 * loop.
 */
final class RestoredState implements LearnedStateSource {
    private static final double OWN_TRUST = 1;

    /** A sibling's state describes the same servers, but as another proxy has observed them. */
    private static final double SIBLING_TRUST = 0.5;

    private static final double MS_PER_SECOND = 1000;

    private final DaemonConfig config;
    private final EventLoopContext core;

    /** Null if no snapshot can be used. */
    private StateSnapshot snapshot;

    private double trust = OWN_TRUST;

    RestoredState(DaemonConfig config, EventLoopContext core) {
        this.config = config;
        this.core = core;
    }

    /** Reads this proxy's own snapshot, and logs any problems with it. */
    void readOwn(SnapshotStore store, Path path) {
        StoredSnapshot stored = store.read();
        logNotes(stored);
        if (stored.content() == null) {
            return;
        }
        use(stored.content(), false, path);
        if (stored.fromPreviousGeneration()) {
            core.log("memory: goes by the generation before the newest");
        }
    }

    /** Reads a sibling's snapshot, which is used if this proxy has no usable snapshot of its own. */
    void readSibling(Path path) {
        StoredSnapshot stored = SnapshotStore.at(path).read();
        logNotes(stored);
        if (snapshot != null) {
            core.log("memory: " + path + " is not needed, as this proxy has a snapshot of its own");
        } else if (stored.content() == null) {
            core.log("memory: " + path + " has no snapshot that can be used");
        } else {
            use(stored.content(), true, path);
        }
    }

    private void logNotes(StoredSnapshot stored) {
        stored.notes().forEach(note -> core.log("memory: " + note));
    }

    private void use(StateSnapshot content, boolean sibling, Path path) {
        Optional<String> mismatch =
                content.mismatch(config.site().name(), config.site().proxyIndex(), core.nowMs(), sibling);
        if (mismatch.isPresent()) {
            core.log("memory: " + path + " is not used: " + mismatch.get());
            return;
        }
        snapshot = content;
        trust = sibling ? SIBLING_TRUST : OWN_TRUST;
        long ageSeconds = Math.round((core.nowMs() - content.writtenMs()) / MS_PER_SECOND);
        core.log("memory: " + path + ", " + ageSeconds + " s old" + (sibling ? ", a sibling's" : ""));
    }

    @Override
    public LearnedStateProvider learnedStateFor(DaemonConfig file, PoolConfig pool) {
        return snapshot == null ? null : LearnedStates.providerOf(snapshot, trust, file, pool);
    }

    @Override
    public void restoreStartTimes(ServerStartTimes startTimes, double nowMs) {
        if (snapshot != null) {
            snapshot.serverStarts(nowMs, LearnedStates.addresses(config))
                    .forEach(start -> startTimes.restore(start.id(), start.startMs(), start.down(), nowMs));
        }
    }
}
