package cacheproxy.snapshot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedLoad;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The bytes of a memory file. The samples were laid out from the page for operators by a program of their own. */
class SnapshotCodecTest {
    static final StateSnapshot SMALL = new StateSnapshot(
            "site",
            2,
            1e12,
            9,
            Map.of(
                    "a",
                    new PoolState(
                            "carp by $key, keys TEXT",
                            new LearnedState(
                                    List.of(
                                            new LearnedServer(0xCAFE0001, 0, 3, 20_000, 1),
                                            new LearnedServer(2, 1e12, 1, 0.5, 0)),
                                    new LearnedLatency(80, 3, 20, 4, 1),
                                    new LearnedLoad(100, 50),
                                    new LearnedLoad(200, 190),
                                    new LearnedHotKeys(
                                            1000, List.of(new LearnedHotKey(-7, 400), new LearnedHotKey(8, 1)))),
                            Map.of(0xCAFE0001, "10.0.0.1:11211"))),
            List.of(new ServerStart(0xCAFE0001, "10.0.0.1:11211", 1e12 - 5000, true)));

    static byte[] sample(String name) throws IOException {
        try (var in = SnapshotCodecTest.class.getResourceAsStream("/memory/" + name + ".mem")) {
            return in.readAllBytes();
        }
    }

    @Test
    void whatIsWrittenIsTheSampleByteForByte() throws Exception {
        assertThat(SnapshotCodec.encode(SMALL)).isEqualTo(sample("servers-v2"));
        assertThat(SnapshotCodec.decode(sample("servers-v2")))
                .isEqualTo(new SnapshotCodec.Decoded(SMALL, List.of(), List.of()));
    }

    @Test
    void serversOfTheFirstVersionHadNoAddress() throws Exception {
        SnapshotCodec.Decoded d = SnapshotCodec.decode(sample("servers-v1"));
        assertThat(d.whole()).isTrue();
        assertThat(d.content().pools().get("a").learned())
                .isEqualTo(SMALL.pools().get("a").learned());
        assertThat(d.content().pools().get("a").addresses()).isEmpty();
    }

    @Test
    void sectionsOfANewerProgramAreSkippedAndANewerFormatIsNotRead() throws Exception {
        SnapshotCodec.Decoded d = SnapshotCodec.decode(sample("newer-section"));
        assertThat(d.whole()).isTrue();
        assertThat(d.skipped()).hasSize(2).allMatch(l -> l.contains("of a newer program"));
        assertThat(d.content().pools().get("a").learned().latency()).isEqualTo(new LearnedLatency(80, 3, 20, 4, 1));
        assertThat(SnapshotCodec.decode(sample("newer-format"))).satisfies(n -> {
            assertThat(n.content()).isNull();
            assertThat(n.faults()).containsExactly("byte 8: format 2 is not known to this program, which reads 1");
        });
    }

    /** Whatever is read must have been written: a fact is there as it was, or it is not there. */
    private static void onlyWhatWasWritten(SnapshotCodec.Decoded d, String as) {
        if (d.content() == null) {
            return;
        }
        StateSnapshot r = d.content();
        assertThat(r.site()).as(as).isEqualTo(SMALL.site());
        assertThat(r.proxyNumber()).as(as).isEqualTo(SMALL.proxyNumber());
        assertThat(r.writtenMs()).as(as).isEqualTo(SMALL.writtenMs());
        assertThat(r.serverStarts()).as(as).isIn(List.of(), SMALL.serverStarts());
        r.pools().forEach((name, p) -> {
            assertThat(name).as(as).isEqualTo("a");
            LearnedState k = p.learned();
            LearnedState was = SMALL.pools().get("a").learned();
            assertThat(k.servers()).as(as).isIn(List.of(), was.servers());
            assertThat(k.latency()).as(as).isIn(LearnedState.NONE.latency(), was.latency());
            assertThat(k.serverLoad()).as(as).isIn(LearnedState.NONE.serverLoad(), was.serverLoad());
            assertThat(k.hotKeys()).as(as).isIn(LearnedState.NONE.hotKeys(), was.hotKeys());
        });
    }

    @Test
    void aBitFlippedAnywhereIsFoundAndTakesAtMostItsOwnSection() {
        byte[] file = SnapshotCodec.encode(SMALL);
        int readInPart = 0;
        for (int bit = 0; bit < file.length * 8; bit++) {
            byte[] bad = file.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            SnapshotCodec.Decoded d = SnapshotCodec.decode(bad);
            assertThat(d.whole()).as("bit " + bit).isFalse();
            onlyWhatWasWritten(d, "bit " + bit);
            readInPart += d.content() != null ? 1 : 0;
        }
        assertThat(readInPart).as("most damage leaves the rest").isGreaterThan(file.length * 4);
    }

    @Test
    void aFileCutAnywhereOrWithASectorOfZerosIsFound() {
        byte[] file = SnapshotCodec.encode(SMALL);
        for (int length = 0; length < file.length; length++) {
            SnapshotCodec.Decoded d = SnapshotCodec.decode(Arrays.copyOf(file, length));
            assertThat(d.whole()).as("cut at " + length).isFalse();
            onlyWhatWasWritten(d, "cut at " + length);
        }
        for (int from = 0; from < file.length; from += 16) {
            byte[] bad = file.clone();
            Arrays.fill(bad, from, Math.min(file.length, from + 16), (byte) 0);
            assertThat(SnapshotCodec.decode(bad).whole())
                    .as("zeros from " + from)
                    .isFalse();
            onlyWhatWasWritten(SnapshotCodec.decode(bad), "zeros from " + from);
        }
        assertThat(SnapshotCodec.decode(Arrays.copyOf(file, file.length + 1)).whole())
                .as("a byte too many")
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 35, 36, 37, 4096, 1 << 20})
    void noiseOfAnySizeIsNoMemory(int size) {
        byte[] noise = new byte[size];
        new SplittableRandom(size).nextBytes(noise);
        assertThat(SnapshotCodec.decode(noise).content()).isNull();
        Arrays.fill(noise, (byte) 0);
        assertThat(SnapshotCodec.decode(noise).content()).isNull();
    }

    /**
     * Sections with a right checksum, but whose lengths, counts and values lie: written by hand, as no encoder would.
     */
    @Test
    void lengthsCountsAndValuesThatCanNotBeAreFoundThoughTheirChecksumIsRight() {
        List<byte[]> lies = new ArrayList<>();
        for (int count : new int[] {-1, 3, 20_001, Integer.MAX_VALUE}) {
            lies.add(section(
                    SnapshotCodec.SERVERS,
                    2,
                    "a",
                    b -> b.putInt(count).putLong(0).putLong(0).putLong(0).putLong(0)));
            lies.add(section(
                    SnapshotCodec.HOT_KEYS,
                    1,
                    "a",
                    b -> b.putShort((short) 0)
                            .putDouble(9)
                            .putInt(count)
                            .putLong(1)
                            .putInt(1)));
            lies.add(section(SnapshotCodec.BIRTHS, 1, null, b -> b.putInt(count).putLong(0)));
        }
        for (double value : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, 1e301}) {
            lies.add(section(
                    SnapshotCodec.PACE,
                    1,
                    "a",
                    b -> b.putDouble(1)
                            .putDouble(1)
                            .putDouble(value)
                            .putDouble(1)
                            .putDouble(1)));
            lies.add(section(
                    SnapshotCodec.PACE,
                    1,
                    "a",
                    b -> b.putDouble(1).putDouble(1).putDouble(1).putDouble(1).putDouble(value)));
            lies.add(section(
                    SnapshotCodec.LOAD,
                    1,
                    "a",
                    b -> b.putDouble(1).putDouble(1).putDouble(1).putDouble(value)));
            lies.add(section(
                    SnapshotCodec.SERVERS,
                    2,
                    "a",
                    b -> b.putInt(1)
                            .putInt(1)
                            .putDouble(0)
                            .putShort((short) 1)
                            .putDouble(value)
                            .putShort((short) 1)
                            .putShort((short) 0)));
            lies.add(section(
                    SnapshotCodec.SERVERS,
                    2,
                    "a",
                    b -> b.putInt(1)
                            .putInt(1)
                            .putDouble(value)
                            .putShort((short) 1)
                            .putDouble(0)
                            .putShort((short) 1)
                            .putShort((short) 0)));
        }
        lies.add(section(
                SnapshotCodec.SERVERS,
                2,
                "a",
                b -> b.putInt(1)
                        .putInt(1)
                        .putDouble(0)
                        .putShort((short) -1)
                        .putDouble(0)
                        .putShort((short) 1)
                        .putShort((short) 0)));
        lies.add(section(
                SnapshotCodec.HOT_KEYS,
                1,
                "a",
                b -> b.putShort((short) 0).putDouble(5).putInt(1).putLong(1).putInt(6)));
        lies.add(section(
                SnapshotCodec.HOT_KEYS,
                1,
                "a",
                b -> b.putShort((short) 0).putDouble(5).putInt(1).putLong(1).putInt(0)));
        lies.add(section(
                SnapshotCodec.PACE,
                1,
                "a",
                b -> b.putDouble(1)
                        .putDouble(1)
                        .putDouble(1)
                        .putDouble(1)
                        .putDouble(1)
                        .put((byte) 0)));
        lies.add(section(SnapshotCodec.PACE, 1, null, b -> b.putShort((short) 0x7FFF)));
        lies.add(section(SnapshotCodec.PACE, 1, null, b -> b.putShort((short) 2).put(new byte[] {(byte) 0xC3, 0x28})));
        lies.add(section(
                SnapshotCodec.BIRTHS,
                1,
                null,
                b -> b.putInt(1).putInt(1).putDouble(1).put((byte) 2).putShort((short) 0)));
        for (byte[] lie : lies) {
            SnapshotCodec.Decoded d =
                    SnapshotCodec.decode(file(section(SnapshotCodec.IDENTITY, 1, "site", b -> b.putInt(2)), lie));
            assertThat(d.content()).as("the rest is read").isNotNull();
            assertThat(d.faults()).singleElement().asString().contains("section 2 says nothing that can be");
            assertThat(d.content().pools().values())
                    .allSatisfy(p -> assertThat(p.learned()).isEqualTo(LearnedState.NONE));
            assertThat(d.content().serverStarts().stream().filter(b -> b.down() && b.startMs() == 1))
                    .isEmpty();
        }
    }

    private static byte[] section(int kind, int version, String text, java.util.function.Consumer<ByteBuffer> body) {
        ByteBuffer b = ByteBuffer.allocate(200)
                .putShort((short) kind)
                .putShort((short) version)
                .putInt(0);
        if (text != null) {
            b.putShort((short) text.length()).put(text.getBytes());
        }
        body.accept(b);
        b.putInt(4, b.position() - 8);
        b.putInt(SnapshotCodec.crc(b.array(), 0, b.position()));
        return Arrays.copyOf(b.array(), b.position());
    }

    private static byte[] file(byte[]... sections) {
        int length = SnapshotCodec.HEAD
                + Arrays.stream(sections).mapToInt(s -> s.length).sum();
        ByteBuffer b = ByteBuffer.allocate(length)
                .putLong(SnapshotCodec.MAGIC)
                .putShort((short) 1)
                .putShort((short) sections.length)
                .putInt(length)
                .putLong(1)
                .putDouble(1e12);
        b.putInt(SnapshotCodec.crc(b.array(), 0, SnapshotCodec.HEAD - 4));
        Arrays.stream(sections).forEach(b::put);
        return b.array();
    }

    @Test
    void whateverAModuleCanKnowIsReadAsItWasWritten() {
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 200; round++) {
            Map<String, PoolState> pools = new LinkedHashMap<>();
            for (int p = random.nextInt(5); p > 0; p--) {
                List<LearnedServer> servers = new ArrayList<>();
                Map<Integer, String> addresses = new HashMap<>();
                for (int s = random.nextInt(300); s > 0; s--) {
                    servers.add(new LearnedServer(
                            random.nextInt(),
                            random.nextInt(3) * 1e12,
                            random.nextInt(100),
                            random.nextDouble() * 20_000,
                            random.nextInt(3)));
                    addresses.put(servers.get(servers.size() - 1).id(), "10.0.0." + s + ":1");
                }
                List<LearnedHotKey> keys = new ArrayList<>();
                for (int k = random.nextInt(100); k > 0; k--) {
                    keys.add(new LearnedHotKey(random.nextLong(), 1 + random.nextInt(1000)));
                }
                LearnedHotKeys hot = keys.isEmpty() ? LearnedState.NONE.hotKeys() : new LearnedHotKeys(1e6, keys);
                pools.put(
                        "pool-\u00e4-" + p,
                        new PoolState(
                                keys.isEmpty() ? "" : "carp",
                                new LearnedState(
                                        servers,
                                        new LearnedLatency(
                                                random.nextDouble(), 0, random.nextDouble(), 1, random.nextDouble()),
                                        new LearnedLoad(random.nextInt(9), 0),
                                        new LearnedLoad(1, 2),
                                        hot),
                                addresses));
            }
            StateSnapshot r =
                    new StateSnapshot("s\u00f4ng", random.nextInt(9), 1.7e12 + round, round, pools, List.of());
            assertThat(SnapshotCodec.decode(SnapshotCodec.encode(r)))
                    .isEqualTo(new SnapshotCodec.Decoded(r, List.of(), List.of()));
        }
    }

    @Test
    void aFileHasItsBoundWhateverIsKnown() {
        List<LearnedServer> servers = new ArrayList<>();
        List<LearnedHotKey> keys = new ArrayList<>();
        for (int i = 0; i < 30_000; i++) {
            servers.add(new LearnedServer(i, 0, 1, 1, 0));
            keys.add(new LearnedHotKey(i, 1));
        }
        PoolState pool = new PoolState(
                "carp",
                new LearnedState(
                        servers,
                        LearnedState.NONE.latency(),
                        LearnedState.NONE.originLoad(),
                        LearnedState.NONE.serverLoad(),
                        new LearnedHotKeys(30_000, keys)),
                Map.of());
        byte[] one = SnapshotCodec.encode(new StateSnapshot("s", 0, 1, 1, Map.of("a", pool), List.of()));
        LearnedState read = SnapshotCodec.decode(one).content().pools().get("a").learned();
        assertThat(read.servers()).hasSize(SnapshotCodec.MAX_SERVERS);
        assertThat(read.hotKeys().keys()).hasSize(SnapshotCodec.MAX_KEYS);
        Map<String, PoolState> many = new LinkedHashMap<>();
        for (int i = 0; i < 10; i++) {
            many.put("p" + i, pool);
        }
        assertThatThrownBy(() -> SnapshotCodec.encode(new StateSnapshot("s", 0, 1, 1, many, List.of())))
                .hasMessage("more than " + SnapshotCodec.MAX_BYTES + " bytes");
    }
}
