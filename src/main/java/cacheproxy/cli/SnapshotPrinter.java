package cacheproxy.cli;

import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.PrintWriter;
import java.time.Instant;

/** Prints a snapshot's content as text for operators. */
final class SnapshotPrinter {
    private static final double MS_PER_SECOND = 1000;

    private final PrintWriter out;

    SnapshotPrinter(PrintWriter out) {
        this.out = out;
    }

    /** Prints a snapshot with its age at {@code nowMs}, a Unix time in milliseconds. */
    void print(StateSnapshot snapshot, long nowMs) {
        out.printf(
                "site %s, proxy %d, generation %d, written %s, %.0f s ago%n",
                snapshot.site(),
                snapshot.proxyNumber(),
                snapshot.generation(),
                Instant.ofEpochMilli((long) snapshot.writtenMs()),
                (nowMs - snapshot.writtenMs()) / MS_PER_SECOND);
        snapshot.pools().forEach(this::printPool);
        snapshot.serverStarts().forEach(this::printStart);
    }

    private void printPool(String name, PoolState pool) {
        LearnedState learned = pool.learned();
        out.printf(
                "pool %s: answers take %.1f ms, deviation %.1f ms, fetches %.1f ms%n",
                name,
                learned.latency().averageMs(),
                learned.latency().deviationMs(),
                learned.latency().originMs());
        out.printf(
                "  recent attempts answered in time: servers %.1f of %.1f, origin %.1f of %.1f%n",
                learned.serverLoad().answered(),
                learned.serverLoad().sent(),
                learned.originLoad().answered(),
                learned.originLoad().sent());
        for (LearnedServer server : learned.servers()) {
            out.printf(
                    "  server %08x at %s: %d failures, %d overdue attempts, ejected for %.0f ms more%n",
                    server.id(),
                    pool.addresses().getOrDefault(server.id(), "?"),
                    server.failures(),
                    server.overdueAttempts(),
                    server.ejectedForMs());
        }
        for (LearnedHotKey hotKey : learned.hotKeys().keys()) {
            out.printf(
                    "  hot key %016x: %d of %.0f (%s)%n",
                    hotKey.key(), hotKey.count(), learned.hotKeys().total(), pool.keyScheme());
        }
    }

    private void printStart(ServerStart start) {
        String startTime = start.startMs() == 0
                ? "not known"
                : Instant.ofEpochMilli((long) start.startMs()).toString();
        out.printf(
                "start %08x at %s: %s%s%n", start.id(), start.address(), startTime, start.down() ? ", was down" : "");
    }
}
