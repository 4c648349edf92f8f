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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Encodes and decodes snapshot files. The samples were made by a separate program, from the format on the operators'
 * page.
 */
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
        try (var resource = SnapshotCodecTest.class.getResourceAsStream("/memory/" + name + ".mem")) {
            return resource.readAllBytes();
        }
    }

    @Test
    void encodesSampleByteForByte() throws Exception {
        assertThat(SnapshotCodec.encode(SMALL)).isEqualTo(sample("servers-v2"));
        assertThat(SnapshotCodec.decode(sample("servers-v2")))
                .isEqualTo(new DecodedSnapshot(SMALL, List.of(), List.of()));
    }

    @Test
    void decodesServersOfVersionOneWithoutAddresses() throws Exception {
        DecodedSnapshot decoded = SnapshotCodec.decode(sample("servers-v1"));
        assertThat(decoded.isComplete()).isTrue();
        assertThat(decoded.content().pools().get("a").learned())
                .isEqualTo(SMALL.pools().get("a").learned());
        assertThat(decoded.content().pools().get("a").addresses()).isEmpty();
    }

    @Test
    void skipsNewerSectionsAndRejectsNewerFormat() throws Exception {
        DecodedSnapshot decoded = SnapshotCodec.decode(sample("newer-section"));
        assertThat(decoded.isComplete()).isTrue();
        assertThat(decoded.skipped()).hasSize(2).allMatch(line -> line.contains("of a newer program"));
        assertThat(decoded.content().pools().get("a").learned().latency())
                .isEqualTo(new LearnedLatency(80, 3, 20, 4, 1));
        assertThat(SnapshotCodec.decode(sample("newer-format"))).satisfies(newer -> {
            assertThat(newer.content()).isNull();
            assertThat(newer.faults()).containsExactly("byte 8: format 2 is not known to this program, which reads 1");
        });
    }

    /** Checks that each part of the state is as it was written, or missing. */
    private static void assertContainsOnlyWrittenState(DecodedSnapshot decoded, String description) {
        if (decoded.content() == null) {
            return;
        }
        StateSnapshot snapshot = decoded.content();
        assertThat(snapshot.site()).as(description).isEqualTo(SMALL.site());
        assertThat(snapshot.proxyNumber()).as(description).isEqualTo(SMALL.proxyNumber());
        assertThat(snapshot.writtenMs()).as(description).isEqualTo(SMALL.writtenMs());
        assertThat(snapshot.serverStarts()).as(description).isIn(List.of(), SMALL.serverStarts());
        snapshot.pools().forEach((name, pool) -> {
            assertThat(name).as(description).isEqualTo("a");
            LearnedState learned = pool.learned();
            LearnedState written = SMALL.pools().get("a").learned();
            assertThat(learned.servers()).as(description).isIn(List.of(), written.servers());
            assertThat(learned.latency()).as(description).isIn(LearnedState.NONE.latency(), written.latency());
            assertThat(learned.serverLoad()).as(description).isIn(LearnedState.NONE.serverLoad(), written.serverLoad());
            assertThat(learned.hotKeys()).as(description).isIn(LearnedState.NONE.hotKeys(), written.hotKeys());
        });
    }

    @Test
    void detectsEveryFlippedBitAndLosesAtMostItsSection() {
        byte[] file = SnapshotCodec.encode(SMALL);
        int readInPart = 0;
        for (int bit = 0; bit < file.length * 8; bit++) {
            byte[] damaged = file.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            DecodedSnapshot decoded = SnapshotCodec.decode(damaged);
            assertThat(decoded.isComplete()).as("bit " + bit).isFalse();
            assertContainsOnlyWrittenState(decoded, "bit " + bit);
            readInPart += decoded.content() != null ? 1 : 0;
        }
        assertThat(readInPart)
                .as("most flipped bits leave the other sections readable")
                .isGreaterThan(file.length * 4);
    }

    @Test
    void detectsTruncatedAndZeroedFiles() {
        byte[] file = SnapshotCodec.encode(SMALL);
        for (int length = 0; length < file.length; length++) {
            DecodedSnapshot decoded = SnapshotCodec.decode(Arrays.copyOf(file, length));
            assertThat(decoded.isComplete()).as("cut at " + length).isFalse();
            assertContainsOnlyWrittenState(decoded, "cut at " + length);
        }
        for (int from = 0; from < file.length; from += 16) {
            byte[] damaged = file.clone();
            Arrays.fill(damaged, from, Math.min(file.length, from + 16), (byte) 0);
            assertThat(SnapshotCodec.decode(damaged).isComplete())
                    .as("zeros from " + from)
                    .isFalse();
            assertContainsOnlyWrittenState(SnapshotCodec.decode(damaged), "zeros from " + from);
        }
        assertThat(SnapshotCodec.decode(Arrays.copyOf(file, file.length + 1)).isComplete())
                .as("a byte too many")
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 35, 36, 37, 4096, 1 << 20})
    void rejectsNoiseOfAnySize(int size) {
        byte[] noise = new byte[size];
        new SplittableRandom(size).nextBytes(noise);
        assertThat(SnapshotCodec.decode(noise).content()).isNull();
        Arrays.fill(noise, (byte) 0);
        assertThat(SnapshotCodec.decode(noise).content()).isNull();
    }

    /**
     * Sections with a valid checksum whose lengths, counts or values are invalid. They are written by hand, as the
     * encoder writes none.
     */
    @Test
    void rejectsInvalidLengthsCountsAndValuesWithValidChecksum() {
        List<byte[]> invalidSections = new ArrayList<>();
        addInvalidCounts(invalidSections);
        addInvalidNumbers(invalidSections);
        addInvalidEntries(invalidSections);
        for (byte[] invalidSection : invalidSections) {
            DecodedSnapshot decoded = SnapshotCodec.decode(
                    file(section(SectionKind.IDENTITY, 1, "site", body -> body.putInt(2)), invalidSection));
            assertThat(decoded.content()).as("the other section is read").isNotNull();
            assertThat(decoded.faults()).singleElement().asString().contains("section 2 has invalid content");
            assertThat(decoded.content().pools().values())
                    .allSatisfy(pool -> assertThat(pool.learned()).isEqualTo(LearnedState.NONE));
            assertThat(decoded.content().serverStarts().stream().filter(start -> start.down() && start.startMs() == 1))
                    .isEmpty();
        }
    }

    private static void addInvalidCounts(List<byte[]> invalidSections) {
        for (int count : new int[] {-1, 3, 20_001, Integer.MAX_VALUE}) {
            invalidSections.add(section(
                    SectionKind.SERVERS,
                    2,
                    "a",
                    body -> body.putInt(count).putLong(0).putLong(0).putLong(0).putLong(0)));
            invalidSections.add(section(
                    SectionKind.HOT_KEYS,
                    1,
                    "a",
                    body -> body.putShort((short) 0)
                            .putDouble(9)
                            .putInt(count)
                            .putLong(1)
                            .putInt(1)));
            invalidSections.add(section(
                    SectionKind.SERVER_STARTS,
                    1,
                    null,
                    body -> body.putInt(count).putLong(0)));
        }
    }

    private static void addInvalidNumbers(List<byte[]> invalidSections) {
        for (double value : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, 1e301}) {
            invalidSections.add(section(
                    SectionKind.LATENCY,
                    1,
                    "a",
                    body -> body.putDouble(1)
                            .putDouble(1)
                            .putDouble(value)
                            .putDouble(1)
                            .putDouble(1)));
            invalidSections.add(section(
                    SectionKind.LATENCY,
                    1,
                    "a",
                    body -> body.putDouble(1)
                            .putDouble(1)
                            .putDouble(1)
                            .putDouble(1)
                            .putDouble(value)));
            invalidSections.add(section(
                    SectionKind.LOAD,
                    1,
                    "a",
                    body -> body.putDouble(1).putDouble(1).putDouble(1).putDouble(value)));
            invalidSections.add(section(
                    SectionKind.SERVERS,
                    2,
                    "a",
                    body -> body.putInt(1)
                            .putInt(1)
                            .putDouble(0)
                            .putShort((short) 1)
                            .putDouble(value)
                            .putShort((short) 1)
                            .putShort((short) 0)));
            invalidSections.add(section(
                    SectionKind.SERVERS,
                    2,
                    "a",
                    body -> body.putInt(1)
                            .putInt(1)
                            .putDouble(value)
                            .putShort((short) 1)
                            .putDouble(0)
                            .putShort((short) 1)
                            .putShort((short) 0)));
        }
    }

    private static void addInvalidEntries(List<byte[]> invalidSections) {
        invalidSections.add(section(
                SectionKind.SERVERS,
                2,
                "a",
                body -> body.putInt(1)
                        .putInt(1)
                        .putDouble(0)
                        .putShort((short) -1)
                        .putDouble(0)
                        .putShort((short) 1)
                        .putShort((short) 0)));
        invalidSections.add(section(
                SectionKind.HOT_KEYS,
                1,
                "a",
                body -> body.putShort((short) 0)
                        .putDouble(5)
                        .putInt(1)
                        .putLong(1)
                        .putInt(6)));
        invalidSections.add(section(
                SectionKind.HOT_KEYS,
                1,
                "a",
                body -> body.putShort((short) 0)
                        .putDouble(5)
                        .putInt(1)
                        .putLong(1)
                        .putInt(0)));
        invalidSections.add(section(
                SectionKind.LATENCY,
                1,
                "a",
                body -> body.putDouble(1)
                        .putDouble(1)
                        .putDouble(1)
                        .putDouble(1)
                        .putDouble(1)
                        .put((byte) 0)));
        invalidSections.add(section(SectionKind.LATENCY, 1, null, body -> body.putShort((short) 0x7FFF)));
        invalidSections.add(section(
                SectionKind.LATENCY, 1, null, body -> body.putShort((short) 2).put(new byte[] {(byte) 0xC3, 0x28})));
        invalidSections.add(section(
                SectionKind.SERVER_STARTS,
                1,
                null,
                body -> body.putInt(1).putInt(1).putDouble(1).put((byte) 2).putShort((short) 0)));
    }

    private static byte[] section(SectionKind kind, int version, String text, Consumer<ByteBuffer> body) {
        ByteBuffer section = ByteBuffer.allocate(200)
                .putShort((short) kind.code)
                .putShort((short) version)
                .putInt(0);
        if (text != null) {
            section.putShort((short) text.length()).put(text.getBytes(StandardCharsets.US_ASCII));
        }
        body.accept(section);
        section.putInt(4, section.position() - 8);
        section.putInt(Checksums.crc32c(section.array(), 0, section.position()));
        return Arrays.copyOf(section.array(), section.position());
    }

    private static byte[] file(byte[]... sections) {
        int length = SnapshotHeader.BYTES
                + Arrays.stream(sections).mapToInt(section -> section.length).sum();
        ByteBuffer file = ByteBuffer.allocate(length)
                .putLong(SnapshotHeader.MAGIC)
                .putShort((short) 1)
                .putShort((short) sections.length)
                .putInt(length)
                .putLong(1)
                .putDouble(1e12);
        file.putInt(Checksums.crc32c(file.array(), 0, SnapshotHeader.BYTES - 4));
        Arrays.stream(sections).forEach(file::put);
        return file.array();
    }

    @Test
    void decodesRandomStateAsEncoded() {
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 200; round++) {
            Map<String, PoolState> pools = new LinkedHashMap<>();
            for (int pool = random.nextInt(5); pool > 0; pool--) {
                List<LearnedServer> servers = new ArrayList<>();
                Map<Integer, String> addresses = new HashMap<>();
                for (int server = random.nextInt(300); server > 0; server--) {
                    servers.add(new LearnedServer(
                            random.nextInt(),
                            random.nextInt(3) * 1e12,
                            random.nextInt(100),
                            random.nextDouble() * 20_000,
                            random.nextInt(3)));
                    addresses.put(servers.get(servers.size() - 1).id(), "10.0.0." + server + ":1");
                }
                List<LearnedHotKey> keys = new ArrayList<>();
                for (int k = random.nextInt(100); k > 0; k--) {
                    keys.add(new LearnedHotKey(random.nextLong(), 1 + random.nextInt(1000)));
                }
                LearnedHotKeys hotKeys = keys.isEmpty() ? LearnedState.NONE.hotKeys() : new LearnedHotKeys(1e6, keys);
                pools.put(
                        "pool-\u00e4-" + pool,
                        new PoolState(
                                keys.isEmpty() ? "" : "carp",
                                new LearnedState(
                                        servers,
                                        new LearnedLatency(
                                                random.nextDouble(), 0, random.nextDouble(), 1, random.nextDouble()),
                                        new LearnedLoad(random.nextInt(9), 0),
                                        new LearnedLoad(1, 2),
                                        hotKeys),
                                addresses));
            }
            StateSnapshot snapshot =
                    new StateSnapshot("s\u00f4ng", random.nextInt(9), 1.7e12 + round, round, pools, List.of());
            assertThat(SnapshotCodec.decode(SnapshotCodec.encode(snapshot)))
                    .isEqualTo(new DecodedSnapshot(snapshot, List.of(), List.of()));
        }
    }

    @Test
    void limitsFileSizeWhateverTheState() {
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
