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

/** A process that writes snapshots until it is killed; each can be told from the others by any of its parts. */
public final class SnapshotCrashProcess {
    private static final int MIN_SERVERS = 20;
    private static final int EXTRA_SERVERS = 300;
    private static final double FIRST_WRITTEN_MS = 1e12;

    private SnapshotCrashProcess() {}

    /**
     * Writes at the path that is the only argument, from the state after the one found there on; prints a line once it
     * has begun.
     */
    public static void main(String[] args) throws Exception {
        SnapshotStore store = SnapshotStore.at(Path.of(args[0]));
        if (!store.tryLock()) {
            throw new IllegalStateException("locked");
        }
        StoredSnapshot found = store.read();
        int number = found.content() == null ? 0 : found.content().proxyNumber();
        System.out.println("writes");
        while (true) {
            store.write(state(++number));
        }
    }

    /** The state of a number: some kilobytes, more each time up to a bound. */
    static StateSnapshot state(int number) {
        List<LearnedServer> servers = new ArrayList<>();
        for (int i = 0; i < MIN_SERVERS + number % EXTRA_SERVERS; i++) {
            servers.add(new LearnedServer(i, number, number % 7 + 1, number, 0));
        }
        LearnedState learned = new LearnedState(
                servers,
                new LearnedLatency(number, number, number, number, 1),
                LearnedState.NONE.originLoad(),
                LearnedState.NONE.serverLoad(),
                LearnedState.NONE.hotKeys());
        Map<String, PoolState> pools = Map.of("a", new PoolState("", learned, Map.of()));
        return new StateSnapshot("victim", number, FIRST_WRITTEN_MS + number, 0, pools, List.of());
    }
}
