package cacheproxy.snapshot;

import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedLoad;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import java.nio.charset.CharacterCodingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Assembles a snapshot from the sections of a file. A section is applied only if all of it is valid. */
final class SnapshotAssembler {
    /** Minimum sizes of entries in bytes, with empty texts. */
    private static final int MIN_SERVER_V1_BYTES = 24;

    private static final int MIN_SERVER_BYTES = 26;
    private static final int HOT_KEY_BYTES = 12;
    private static final int MIN_SERVER_START_BYTES = 15;

    /** The first version of {@link SectionKind#SERVERS} with addresses. */
    private static final int FIRST_VERSION_WITH_ADDRESSES = 2;

    /** Null until a valid identity section has been read. */
    private String site;

    private int proxyNumber;
    private final Map<String, PoolBuilder> pools = new LinkedHashMap<>();
    private final List<ServerStart> serverStarts = new ArrayList<>();

    /** The state of one pool, from the sections read so far. */
    private static final class PoolBuilder {
        private List<LearnedServer> servers = List.of();
        private final Map<Integer, String> addresses = new HashMap<>();
        private LearnedLatency latency = LearnedState.NONE.latency();
        private LearnedLoad originLoad = LearnedState.NONE.originLoad();
        private LearnedLoad serverLoad = LearnedState.NONE.serverLoad();
        private LearnedHotKeys hotKeys = LearnedState.NONE.hotKeys();
        private String keyScheme = "";

        PoolState build() {
            LearnedState learned = new LearnedState(servers, latency, originLoad, serverLoad, hotKeys);
            return new PoolState(keyScheme, learned, addresses);
        }
    }

    /** Returns whether a valid identity section has been read; without one, nothing of the snapshot can be used. */
    boolean hasIdentity() {
        return site != null;
    }

    /** Returns the snapshot of all sections applied so far; {@link #hasIdentity} must return true. */
    StateSnapshot build(double writtenMs, long generation) {
        Map<String, PoolState> poolStates = new LinkedHashMap<>();
        pools.forEach((name, pool) -> poolStates.put(name, pool.build()));
        return new StateSnapshot(site, proxyNumber, writtenMs, generation, poolStates, serverStarts);
    }

    /**
     * Reads one section and applies it.
     *
     * @throws InvalidSectionException if a value is out of its range
     * @throws CharacterCodingException if a text is not UTF-8
     * @throws java.nio.BufferUnderflowException if the section ends early
     */
    void add(SectionKind kind, int version, SectionReader section)
            throws InvalidSectionException, CharacterCodingException {
        Runnable apply = switch (kind) {
            case IDENTITY -> readIdentity(section);
            case SERVERS -> readServers(version, section);
            case LATENCY -> readLatency(section);
            case LOAD -> readLoad(section);
            case HOT_KEYS -> readHotKeys(section);
            case SERVER_STARTS -> readServerStarts(section);
        };
        section.checkEnd();
        apply.run();
    }

    private Runnable readIdentity(SectionReader section) throws InvalidSectionException, CharacterCodingException {
        String name = section.readText();
        int number = section.readInt();
        SectionReader.check(number >= 0, "proxy number below 0");
        return () -> {
            site = name;
            proxyNumber = number;
        };
    }

    private Runnable readServers(int version, SectionReader section)
            throws InvalidSectionException, CharacterCodingException {
        String pool = section.readText();
        boolean hasAddresses = version >= FIRST_VERSION_WITH_ADDRESSES;
        int count = section.readCount(hasAddresses ? MIN_SERVER_BYTES : MIN_SERVER_V1_BYTES, SnapshotCodec.MAX_SERVERS);
        List<LearnedServer> servers = new ArrayList<>(count);
        Map<Integer, String> addresses = new HashMap<>();
        for (int i = 0; i < count; i++) {
            LearnedServer server = new LearnedServer(
                    section.readInt(),
                    section.readStartTime(),
                    section.readShort(),
                    section.readDuration(),
                    section.readShort());
            SectionReader.check(server.failures() >= 0 && server.overdueAttempts() >= 0, "failures below 0");
            servers.add(server);
            String address = hasAddresses ? section.readText() : "";
            if (!address.isEmpty()) {
                addresses.put(server.id(), address);
            }
        }
        return () -> {
            pool(pool).servers = servers;
            pool(pool).addresses.putAll(addresses);
        };
    }

    private Runnable readLatency(SectionReader section) throws InvalidSectionException, CharacterCodingException {
        String pool = section.readText();
        LearnedLatency latency = new LearnedLatency(
                section.readDuration(),
                section.readDuration(),
                section.readDuration(),
                section.readDuration(),
                section.readDouble());
        SectionReader.check(latency.weight() >= 0 && latency.weight() <= 1, "weight " + latency.weight());
        return () -> pool(pool).latency = latency;
    }

    private Runnable readLoad(SectionReader section) throws InvalidSectionException, CharacterCodingException {
        String pool = section.readText();
        LearnedLoad originLoad = new LearnedLoad(section.readDuration(), section.readDuration());
        LearnedLoad serverLoad = new LearnedLoad(section.readDuration(), section.readDuration());
        return () -> {
            pool(pool).originLoad = originLoad;
            pool(pool).serverLoad = serverLoad;
        };
    }

    private Runnable readHotKeys(SectionReader section) throws InvalidSectionException, CharacterCodingException {
        String pool = section.readText();
        String keyScheme = section.readText();
        double total = section.readDuration();
        int count = section.readCount(HOT_KEY_BYTES, SnapshotCodec.MAX_KEYS);
        List<LearnedHotKey> keys = new ArrayList<>(count);
        long sum = 0;
        for (int i = 0; i < count; i++) {
            LearnedHotKey key = new LearnedHotKey(section.readLong(), section.readInt());
            SectionReader.check(key.count() > 0, "a key with count " + key.count());
            sum += key.count();
            keys.add(key);
        }
        SectionReader.check(sum <= total, "more requests for hot keys than for all keys");
        return () -> {
            pool(pool).hotKeys = new LearnedHotKeys(total, keys);
            pool(pool).keyScheme = keyScheme;
        };
    }

    private Runnable readServerStarts(SectionReader section) throws InvalidSectionException, CharacterCodingException {
        int count = section.readCount(MIN_SERVER_START_BYTES, SnapshotCodec.MAX_SERVERS);
        List<ServerStart> starts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int id = section.readInt();
            double startMs = section.readStartTime();
            byte down = section.readByte();
            SectionReader.check(down == 0 || down == 1, "server neither up nor down");
            starts.add(new ServerStart(id, section.readText(), startMs, down == 1));
        }
        return () -> serverStarts.addAll(starts);
    }

    private PoolBuilder pool(String name) {
        return pools.computeIfAbsent(name, absent -> new PoolBuilder());
    }
}
