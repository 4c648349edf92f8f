package cacheproxy.bench;

import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.StoredSnapshot;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.StateSnapshot;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A process that writes a memory over and over until it is killed; each state can be told from its own parts. */
public final class SnapshotCrashProcess {
    private SnapshotCrashProcess() {}

    /** Writes at the path that is given; a line on standard output once it has begun. */
    public static void main(String[] args) throws Exception {
        SnapshotStore files = SnapshotStore.at(Path.of(args[0]));
        if (!files.tryLock()) {
            throw new IllegalStateException("locked");
        }
        StoredSnapshot found = files.read();
        int n = found.content() == null ? 0 : found.content().proxyNumber();
        System.out.println("writes");
        while (true) {
            files.write(state(++n));
        }
    }

    /** The n-th state: some kilobytes, more each time up to a bound. */
    static StateSnapshot state(int n) {
        List<LearnedServer> servers = new ArrayList<>();
        for (int i = 0; i < 20 + n % 300; i++) {
            servers.add(new LearnedServer(i, n, n % 7 + 1, n, 0));
        }
        return new StateSnapshot(
                "victim",
                n,
                1e12 + n,
                0,
                Map.of(
                        "a",
                        new PoolState(
                                "",
                                new LearnedState(
                                        servers,
                                        new LearnedLatency(n, n, n, n, 1),
                                        LearnedState.NONE.originLoad(),
                                        LearnedState.NONE.serverLoad(),
                                        LearnedState.NONE.hotKeys()),
                                Map.of())),
                List.of());
    }
}
