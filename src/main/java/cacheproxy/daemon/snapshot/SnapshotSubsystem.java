package cacheproxy.daemon.snapshot;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.config.SnapshotConfig;
import cacheproxy.daemon.LearnedStateSource;
import cacheproxy.daemon.Subsystem;
import cacheproxy.daemon.SubsystemContext;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.proxy.dispatch.LearnedStateProvider;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.snapshot.SnapshotStore;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Keeps the pools' learned state across restarts: provides the state of an earlier process to pools that start, and
 * saves the current state if the configuration has a {@code [memory]} section.
 */
public final class SnapshotSubsystem implements Subsystem, LearnedStateSource {
    private final Optional<SnapshotConfig> config;
    private final RestoredState restored;

    /** Empty if the configuration has no section {@code [memory]}, so that nothing is saved. */
    private final Optional<SnapshotSaver> saver;

    private SnapshotSubsystem(Optional<SnapshotConfig> config, RestoredState restored, Optional<SnapshotSaver> saver) {
        this.config = config;
        this.restored = restored;
        this.saver = saver;
    }

    /**
     * Opens the subsystem and reads the snapshots; blocks. Snapshots that cannot be used are logged, and the daemon
     * runs without them.
     *
     * @param previous the instance that is replaced; it is stopped first if it saves to the same file
     * @return empty if nothing is to be saved and no sibling's snapshot is given
     */
    public static Optional<SnapshotSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem previous) {
        Optional<SnapshotConfig> config = configOf(file);
        Optional<Path> sibling = context.siblingSnapshot().get();
        if (config.isEmpty() && sibling.isEmpty()) {
            return Optional.empty();
        }
        if (previous instanceof SnapshotSubsystem replaced && replaced.savesTo(config)) {
            replaced.end(); // both would write to the same file
        }
        EventLoopContext core = context.core();
        RestoredState restored = new RestoredState(file, core);
        Optional<SnapshotSaver> saver = config.map(section -> {
            Optional<SnapshotStore> store = SnapshotSaver.lockStore(section, core);
            store.ifPresent(locked -> restored.readOwn(locked, section.path()));
            return new SnapshotSaver(section, core, context.learnedState(), store);
        });
        sibling.ifPresent(restored::readSibling);
        return Optional.of(new SnapshotSubsystem(config, restored, saver));
    }

    private static Optional<SnapshotConfig> configOf(DaemonConfig file) {
        return Optional.ofNullable(file.section(SnapshotConfig.class));
    }

    private boolean savesTo(Optional<SnapshotConfig> other) {
        return config.isPresent() && config.map(SnapshotConfig::path).equals(other.map(SnapshotConfig::path));
    }

    @Override
    public boolean fits(DaemonConfig file) {
        return config.equals(configOf(file));
    }

    @Override
    public void apply(DaemonConfig file) {
        saver.ifPresent(SnapshotSaver::schedule);
    }

    @Override
    public void restore(DaemonConfig file) {
        saver.ifPresent(SnapshotSaver::restart);
    }

    @Override
    public void finish() {
        saver.ifPresent(SnapshotSaver::saveLast);
    }

    @Override
    public void close() {
        saver.ifPresent(SnapshotSaver::cancel);
    }

    @Override
    public void end() {
        saver.ifPresent(SnapshotSaver::end);
    }

    @Override
    public LearnedStateProvider learnedStateFor(DaemonConfig file, PoolConfig pool) {
        return restored.learnedStateFor(file, pool);
    }

    @Override
    public void restoreStartTimes(ServerStartTimes startTimes, double nowMs) {
        restored.restoreStartTimes(startTimes, nowMs);
    }

    /** Returns how much has been written, for measurements. */
    public WriteTotals writeTotals() {
        return saver.map(SnapshotSaver::writeTotals).orElse(new WriteTotals(0, 0));
    }
}
