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
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The bytes of a memory file, as {@code docs/operating/durable-learning.md} has them: a head and sections, each with a
 * CRC-32C (RFC 3720, appendix B.4) of its own. No files here. A reader believes no length and no count before it has
 * seen that the bytes are there, and no value that is out of its range.
 */
public final class SnapshotCodec {
    /** No file is larger, read or written. */
    public static final int MAX_BYTES = 4 << 20;
    /** Servers of one pool of which something is said. */
    public static final int MAX_SERVERS = 20_000;
    /** Hot keys of one pool. */
    public static final int MAX_KEYS = 4_096;

    static final long MAGIC = 0x434F52414C4D454DL; // "CORALMEM"
    static final int VERSION = 1;
    static final int HEAD = 36;
    private static final int SECTION_HEAD = 8;
    private static final int CRC = 4;
    private static final int MAX_TEXT = 1024;
    private static final int MAX_SECTIONS = 8_192;

    static final int IDENTITY = 1;
    static final int SERVERS = 2;
    static final int PACE = 3;
    static final int LOAD = 4;
    static final int HOT_KEYS = 5;
    static final int BIRTHS = 6;
    /** The version in which each kind of section is written, by kind. */
    private static final int[] WRITTEN = {0, 1, 2, 1, 1, 1, 1};

    private SnapshotCodec() {}

    /**
     * What was read.
     *
     * @param content null where nothing can be used
     * @param faults what is damaged, each with its place; empty: the file is whole
     * @param skipped sections that a newer program has written
     */
    public record Decoded(StateSnapshot content, List<String> faults, List<String> skipped) {
        /** Whether it is as it was written. */
        public boolean whole() {
            return content != null && faults.isEmpty();
        }
    }

    // ---- writing

    /**
     * The bytes of a file.
     *
     * @throws IllegalArgumentException if it is larger than {@link #MAX_BYTES}
     */
    public static byte[] encode(StateSnapshot r) {
        Out out = new Out();
        out.buf.position(HEAD);
        out.section(IDENTITY, () -> out.text(r.site()).putInt(r.proxyNumber()));
        r.pools().forEach((name, p) -> {
            LearnedState k = p.learned();
            List<LearnedServer> servers =
                    k.servers().subList(0, Math.min(MAX_SERVERS, k.servers().size()));
            if (!servers.isEmpty()) {
                out.section(SERVERS, () -> {
                    out.text(name).putInt(servers.size());
                    for (LearnedServer s : servers) {
                        out.buf
                                .putInt(s.id())
                                .putDouble(s.startMs())
                                .putShort((short) Math.min(s.failures(), 0x7FFF))
                                .putDouble(s.ejectedForMs())
                                .putShort((short) Math.min(s.overdueAttempts(), 0x7FFF));
                        out.text(p.addresses().getOrDefault(s.id(), ""));
                    }
                });
            }
            LearnedLatency pace = k.latency();
            out.section(
                    PACE,
                    () -> out.text(name)
                            .putDouble(pace.originMs())
                            .putDouble(pace.averageCost())
                            .putDouble(pace.averageMs())
                            .putDouble(pace.deviationMs())
                            .putDouble(pace.weight()));
            out.section(
                    LOAD,
                    () -> out.text(name)
                            .putDouble(k.originLoad().sent())
                            .putDouble(k.originLoad().answered())
                            .putDouble(k.serverLoad().sent())
                            .putDouble(k.serverLoad().answered()));
            List<LearnedHotKey> keys = k.hotKeys()
                    .keys()
                    .subList(0, Math.min(MAX_KEYS, k.hotKeys().keys().size()));
            if (!keys.isEmpty()) {
                out.section(HOT_KEYS, () -> {
                    out.text(name);
                    out.text(p.keyScheme()).putDouble(k.hotKeys().total()).putInt(keys.size());
                    keys.forEach(h -> out.buf.putLong(h.key()).putInt(h.count()));
                });
            }
        });
        if (!r.serverStarts().isEmpty()) {
            List<ServerStart> births = r.serverStarts()
                    .subList(0, Math.min(MAX_SERVERS, r.serverStarts().size()));
            out.section(BIRTHS, () -> {
                out.buf.putInt(births.size());
                for (ServerStart b : births) {
                    out.buf.putInt(b.id()).putDouble(b.startMs()).put((byte) (b.down() ? 1 : 0));
                    out.text(b.address());
                }
            });
        }
        return out.file(r.generation(), r.writtenMs());
    }

    private static final class Out {
        private ByteBuffer buf = ByteBuffer.allocate(4096);
        private int sections;

        ByteBuffer text(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            if (bytes.length > MAX_TEXT) {
                throw new IllegalArgumentException("a name has more than " + MAX_TEXT + " bytes");
            }
            return buf.putShort((short) bytes.length).put(bytes);
        }

        /** Writes one section; where it does not fit, once more into a larger buffer. */
        void section(int kind, Runnable body) {
            int from = buf.position();
            while (true) {
                try {
                    buf.putShort((short) kind).putShort((short) WRITTEN[kind]).putInt(0);
                    body.run();
                    int end = buf.position();
                    buf.putInt(from + 4, end - from - SECTION_HEAD);
                    buf.putInt(crc(buf.array(), from, end - from));
                    sections++;
                    return;
                } catch (java.nio.BufferOverflowException e) {
                    if (buf.capacity() >= MAX_BYTES) {
                        throw new IllegalArgumentException("more than " + MAX_BYTES + " bytes");
                    }
                    buf = ByteBuffer.allocate(Math.min(MAX_BYTES, buf.capacity() * 2))
                            .put(buf.array(), 0, from);
                }
            }
        }

        byte[] file(long generation, double writtenMs) {
            int length = buf.position();
            buf.putLong(0, MAGIC)
                    .putShort(8, (short) VERSION)
                    .putShort(10, (short) sections)
                    .putInt(12, length)
                    .putLong(16, generation)
                    .putDouble(24, writtenMs);
            buf.putInt(HEAD - CRC, crc(buf.array(), 0, HEAD - CRC));
            byte[] file = new byte[length];
            buf.get(0, file);
            return file;
        }
    }

    static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    // ---- reading

    /** Reads whatever bytes; never throws for what they are. */
    public static Decoded decode(byte[] bytes) {
        List<String> faults = new ArrayList<>();
        List<String> skipped = new ArrayList<>();
        String head = head(bytes);
        if (head != null) {
            return new Decoded(null, List.of(head), skipped);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int sections = in.getShort(10) & 0xFFFF;
        long length = in.getInt(12);
        if (length != bytes.length) {
            faults.add("byte 12: the file should have " + length + " bytes and has " + bytes.length);
        }
        In content = new In();
        in.position(HEAD);
        int read = 0;
        for (; read < Math.min(sections, MAX_SECTIONS) && in.remaining() >= SECTION_HEAD + CRC; read++) {
            int from = in.position();
            int kind = in.getShort() & 0xFFFF;
            int version = in.getShort() & 0xFFFF;
            int size = in.getInt();
            if (size < 0 || size > in.remaining() - CRC) {
                break; // where the next one begins is not known
            }
            if (crc(bytes, from, SECTION_HEAD + size) != in.getInt(from + SECTION_HEAD + size)) {
                faults.add("byte " + from + ": section " + (read + 1) + " is damaged");
            } else if (kind == 0 || kind >= WRITTEN.length || version == 0 || version > WRITTEN[kind]) {
                skipped.add(
                        "byte " + from + ": section of kind " + kind + ", version " + version + ", of a newer program");
            } else {
                try {
                    content.take(kind, version, in.slice(from + SECTION_HEAD, size));
                } catch (BufferUnderflowException | IllegalArgumentException | CharacterCodingException e) {
                    faults.add("byte " + from + ": section " + (read + 1) + " says nothing that can be: "
                            + (e.getMessage() == null ? "it ends early" : e.getMessage()));
                }
            }
            in.position(from + SECTION_HEAD + size + CRC);
        }
        if (read < sections) {
            faults.add("byte " + in.position() + ": " + (sections - read) + " sections are missing");
        }
        if (content.site == null) {
            faults.add("byte " + HEAD + ": it does not say whose it is");
            return new Decoded(null, faults, skipped);
        }
        return new Decoded(content.recollection(in.getDouble(24), in.getLong(16)), faults, skipped);
    }

    /** What is wrong with the head; null: nothing. */
    private static String head(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEAD) {
            return "byte 0: " + bytes.length + " bytes are no memory file";
        }
        if (in.getLong(0) != MAGIC) {
            return "byte 0: it is no memory file";
        }
        if (crc(bytes, 0, HEAD - CRC) != in.getInt(HEAD - CRC)) {
            return "byte 0: its head is damaged";
        }
        int version = in.getShort(8);
        if (version != VERSION) {
            return "byte 8: format " + version + " is not known to this program, which reads " + VERSION;
        }
        double written = in.getDouble(24);
        return time(written) ? null : "byte 24: it was written at no time that can be";
    }

    private static boolean time(double ms) {
        return ms >= 0 && ms < 1e15;
    }

    /** What the sections say, put together. */
    private static final class In {
        private String site;
        private int me;
        private final Map<String, Parts> pools = new LinkedHashMap<>();
        private final List<ServerStart> births = new ArrayList<>();

        private static final class Parts {
            private List<LearnedServer> servers = List.of();
            private final Map<Integer, String> addresses = new HashMap<>();
            private LearnedLatency pace = LearnedState.NONE.latency();
            private LearnedLoad fetches = LearnedState.NONE.originLoad();
            private LearnedLoad crowd = LearnedState.NONE.serverLoad();
            private LearnedHotKeys hot = LearnedState.NONE.hotKeys();
            private String placement = "";
        }

        /** A section counts once all of it is known to be sound. */
        void take(int kind, int version, ByteBuffer in) throws CharacterCodingException {
            Runnable sound = switch (kind) {
                case IDENTITY -> identity(in);
                case SERVERS -> servers(version, in);
                case PACE -> pace(in);
                case LOAD -> load(in);
                case HOT_KEYS -> hotKeys(in);
                default -> births(in);
            };
            check(!in.hasRemaining(), in.remaining() + " bytes too many");
            sound.run();
        }

        private Runnable identity(ByteBuffer in) throws CharacterCodingException {
            String name = text(in);
            int number = in.getInt();
            check(number >= 0, "number of a proxy below 0");
            return () -> {
                site = name;
                me = number;
            };
        }

        /** Version 1 had no addresses: such facts hold wherever the server stands. */
        private Runnable servers(int version, ByteBuffer in) throws CharacterCodingException {
            String pool = text(in);
            int n = count(in, version == 1 ? 24 : 26, MAX_SERVERS);
            List<LearnedServer> servers = new ArrayList<>(n);
            Map<Integer, String> addresses = new HashMap<>();
            for (int i = 0; i < n; i++) {
                LearnedServer s = new LearnedServer(in.getInt(), born(in), in.getShort(), span(in), in.getShort());
                check(s.failures() >= 0 && s.overdueAttempts() >= 0, "failures below 0");
                servers.add(s);
                if (version > 1) {
                    String address = text(in);
                    if (!address.isEmpty()) {
                        addresses.put(s.id(), address);
                    }
                }
            }
            return () -> {
                pool(pool).servers = servers;
                pool(pool).addresses.putAll(addresses);
            };
        }

        private Runnable pace(ByteBuffer in) throws CharacterCodingException {
            String pool = text(in);
            LearnedLatency pace = new LearnedLatency(span(in), span(in), span(in), span(in), in.getDouble());
            check(pace.weight() >= 0 && pace.weight() <= 1, "weight " + pace.weight());
            return () -> pool(pool).pace = pace;
        }

        private Runnable load(ByteBuffer in) throws CharacterCodingException {
            String pool = text(in);
            LearnedLoad fetches = new LearnedLoad(span(in), span(in));
            LearnedLoad crowd = new LearnedLoad(span(in), span(in));
            return () -> {
                pool(pool).fetches = fetches;
                pool(pool).crowd = crowd;
            };
        }

        private Runnable hotKeys(ByteBuffer in) throws CharacterCodingException {
            String pool = text(in);
            String placement = text(in);
            double total = span(in);
            int n = count(in, 12, MAX_KEYS);
            List<LearnedHotKey> keys = new ArrayList<>(n);
            long sum = 0;
            for (int i = 0; i < n; i++) {
                LearnedHotKey k = new LearnedHotKey(in.getLong(), in.getInt());
                check(k.count() > 0, "a key with count " + k.count());
                sum += k.count();
                keys.add(k);
            }
            check(sum <= total, "keys that were asked for more often than all were");
            return () -> {
                pool(pool).hot = new LearnedHotKeys(total, keys);
                pool(pool).placement = placement;
            };
        }

        private Runnable births(ByteBuffer in) throws CharacterCodingException {
            int n = count(in, 15, MAX_SERVERS);
            List<ServerStart> read = new ArrayList<>(n);
            for (int i = 0; i < n; i++) {
                int id = in.getInt();
                double born = born(in);
                byte down = in.get();
                check(down == 0 || down == 1, "neither up nor down");
                read.add(new ServerStart(id, text(in), born, down == 1));
            }
            return () -> births.addAll(read);
        }

        private Parts pool(String name) {
            return pools.computeIfAbsent(name, n -> new Parts());
        }

        private static void check(boolean good, String what) {
            if (!good) {
                throw new IllegalArgumentException(what);
            }
        }

        private static int count(ByteBuffer in, int each, int most) {
            int n = in.getInt();
            check(n >= 0 && n <= most && (long) n * each <= in.remaining(), n + " entries");
            return n;
        }

        private static double span(ByteBuffer in) {
            double ms = in.getDouble();
            check(time(ms), "span " + ms);
            return ms;
        }

        /** A start; one that is still to come is later than any time. */
        private static double born(ByteBuffer in) {
            double ms = in.getDouble();
            check(ms >= 0 && ms <= 1e300, "start " + ms);
            return ms;
        }

        private static String text(ByteBuffer in) throws CharacterCodingException {
            int n = in.getShort();
            check(n >= 0 && n <= MAX_TEXT && n <= in.remaining(), "a text of " + n + " bytes");
            ByteBuffer bytes = in.slice(in.position(), n);
            in.position(in.position() + n);
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        }

        StateSnapshot recollection(double writtenMs, long generation) {
            Map<String, PoolState> by = new LinkedHashMap<>();
            pools.forEach((name, p) -> by.put(
                    name,
                    new PoolState(
                            p.placement, new LearnedState(p.servers, p.pace, p.fetches, p.crowd, p.hot), p.addresses)));
            return new StateSnapshot(site, me, writtenMs, generation, by, births);
        }
    }
}
