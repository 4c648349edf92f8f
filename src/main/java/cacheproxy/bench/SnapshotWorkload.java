package cacheproxy.bench;

import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;

/** Keys, values and the daemon's configuration of the snapshot benches. */
final class SnapshotWorkload {
    /** Number of servers where restarts and writes are measured. */
    static final int SERVERS = 22;

    private static final int KEYS = 2000;
    private static final int VALUE_BYTES = 100;
    private static final int WARM_UP_MS = 3000;

    private SnapshotWorkload() {}

    /** The key of a request: one in ten reads the hottest, others the lower numbers more often. */
    static String key(int request) {
        double random = new SplittableRandom(request).nextDouble();
        int number = request % 10 == 0 ? 0 : (int) (random * random * KEYS);
        return "key/" + number;
    }

    /** Stores all values at all servers. */
    static void storeValues(List<FakeCacheServer> servers) {
        for (FakeCacheServer server : servers) {
            for (int i = 0; i < KEYS; i++) {
                server.store("key/" + i, new byte[VALUE_BYTES]);
            }
        }
    }

    /** A daemon's configuration for a fleet, without snapshots. */
    static BenchConfig config(FakeFleet fleet) {
        return new BenchConfig()
                .table("[site]")
                .number("warm_up_ms", WARM_UP_MS)
                .serviceClass("page", "safe")
                .openListener("main")
                .pool("a")
                .servers(fleet.nodes)
                .origin("store", fleet.origin.dial())
                .routeAll();
    }

    /** A daemon's configuration for a fleet that writes a snapshot at each period. */
    static BenchConfig config(FakeFleet fleet, Path snapshot, int periodMs) {
        return config(fleet)
                .table("[memory]")
                .string("path", snapshot.toString())
                .number("period_ms", periodMs);
    }
}
