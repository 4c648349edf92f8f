package cacheproxy.snapshot;

import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import java.util.List;

/**
 * Writes a snapshot as the sections of one file. Lists are truncated to the limits of {@link SnapshotCodec}; empty
 * lists get no section.
 */
final class SnapshotEncoder {
    private final SectionWriter out = new SectionWriter();

    /** Returns the bytes of a snapshot's file. */
    static byte[] encode(StateSnapshot snapshot) {
        SnapshotEncoder encoder = new SnapshotEncoder();
        encoder.writeIdentity(snapshot);
        snapshot.pools().forEach(encoder::writePool);
        encoder.writeServerStarts(firstOf(snapshot.serverStarts(), SnapshotCodec.MAX_SERVERS));
        return encoder.out.toFile(snapshot.generation(), snapshot.writtenMs());
    }

    private static <T> List<T> firstOf(List<T> list, int maxSize) {
        return list.subList(0, Math.min(maxSize, list.size()));
    }

    private void writeIdentity(StateSnapshot snapshot) {
        out.writeSection(
                SectionKind.IDENTITY, () -> out.putText(snapshot.site()).putInt(snapshot.proxyNumber()));
    }

    private void writePool(String name, PoolState pool) {
        LearnedState learned = pool.learned();
        writeServers(name, pool, firstOf(learned.servers(), SnapshotCodec.MAX_SERVERS));
        writeLatency(name, learned.latency());
        writeLoad(name, learned);
        writeHotKeys(name, pool.keyScheme(), learned.hotKeys());
    }

    private void writeServers(String name, PoolState pool, List<LearnedServer> servers) {
        if (servers.isEmpty()) {
            return;
        }
        out.writeSection(SectionKind.SERVERS, () -> {
            out.putText(name).putInt(servers.size());
            for (LearnedServer server : servers) {
                out.putInt(server.id())
                        .putDouble(server.startMs())
                        .putCount(server.failures())
                        .putDouble(server.ejectedForMs())
                        .putCount(server.overdueAttempts())
                        .putText(pool.addresses().getOrDefault(server.id(), ""));
            }
        });
    }

    private void writeLatency(String name, LearnedLatency latency) {
        out.writeSection(
                SectionKind.LATENCY,
                () -> out.putText(name)
                        .putDouble(latency.originMs())
                        .putDouble(latency.averageCost())
                        .putDouble(latency.averageMs())
                        .putDouble(latency.deviationMs())
                        .putDouble(latency.weight()));
    }

    private void writeLoad(String name, LearnedState learned) {
        out.writeSection(
                SectionKind.LOAD,
                () -> out.putText(name)
                        .putDouble(learned.originLoad().sent())
                        .putDouble(learned.originLoad().answered())
                        .putDouble(learned.serverLoad().sent())
                        .putDouble(learned.serverLoad().answered()));
    }

    private void writeHotKeys(String name, String keyScheme, LearnedHotKeys hotKeys) {
        List<LearnedHotKey> keys = firstOf(hotKeys.keys(), SnapshotCodec.MAX_KEYS);
        if (keys.isEmpty()) {
            return;
        }
        out.writeSection(SectionKind.HOT_KEYS, () -> {
            out.putText(name).putText(keyScheme).putDouble(hotKeys.total()).putInt(keys.size());
            for (LearnedHotKey key : keys) {
                out.putLong(key.key()).putInt(key.count());
            }
        });
    }

    private void writeServerStarts(List<ServerStart> starts) {
        if (starts.isEmpty()) {
            return;
        }
        out.writeSection(SectionKind.SERVER_STARTS, () -> {
            out.putInt(starts.size());
            for (ServerStart start : starts) {
                out.putInt(start.id())
                        .putDouble(start.startMs())
                        .putByte(start.down() ? 1 : 0)
                        .putText(start.address());
            }
        });
    }
}
