package cacheproxy.bench;

import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.StoredSnapshot;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.SplittableRandom;

/** Kills a process that only writes, at any moment of a write; what is found must be one of its states, complete. */
final class SnapshotKillBench {
    private static final int MAX_RUN_MS = 60;
    private static final int MAX_EXTRA_NANOS = 999_999;

    private final KillLanes lanes;

    SnapshotKillBench(PrintWriter out, int kills) {
        lanes = new KillLanes(out, kills);
    }

    /** Runs all kills in a directory and prints what they left. */
    void run(Path directory) throws Exception {
        lanes.run(directory, this::runLane);
    }

    private void runLane(Path directory, int lane) throws Exception {
        SplittableRandom random = new SplittableRandom(lane);
        Path file = directory.resolve("memory");
        int lastState = 0;
        while (lanes.takeKill()) {
            Process process =
                    JavaProcess.start(directory.resolve("log"), SnapshotCrashProcess.class.getName(), file.toString());
            if (process.getInputStream().read() < 0) {
                lanes.countFailedStart();
            }
            Thread.sleep(random.nextInt(MAX_RUN_MS), random.nextInt(MAX_EXTRA_NANOS));
            process.destroyForcibly().waitFor();
            lastState = check(file, lastState);
        }
    }

    /** Compares the snapshot with the state of the same number; returns the number of the last state found. */
    private int check(Path file, int lastState) {
        lanes.countUnfinishedWrite(file);
        StoredSnapshot found = SnapshotStore.at(file).read();
        lanes.countFound(found);
        StateSnapshot actual = found.content();
        if (actual == null) {
            if (lastState > 0) {
                lanes.countCorrupt();
            }
            return lastState;
        }
        StateSnapshot written = SnapshotCrashProcess.state(actual.proxyNumber());
        if (!actual.pools().equals(written.pools())
                || actual.proxyNumber() < lastState
                || !found.notes().isEmpty()) {
            lanes.countCorrupt();
        }
        return actual.proxyNumber();
    }
}
