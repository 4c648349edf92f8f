package cacheproxy.fleet.peer;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What every datagram between peers is wrapped in: who sent it, from which life of its process, with which number; and,
 * where there are keys, a code over all of it (HMAC-SHA256, RFC 2104, of which 16 bytes are sent), else a checksum
 * (CRC-32C, RFC 3720 section 12.1): spoilt bytes must not pass for an epoch. Of each sender the newest life counts, and
 * in it each number once, so what is played again is dropped. An older life counts again once the newer was not heard
 * for {@value #FORGET_MS} ms: its process may have been started after the wall clock had been put back. Not
 * thread-safe.
 */
public final class DatagramEnvelope {
    /** The longest datagram, and what may be in it. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    static final int HEADER_BYTES = 27;
    static final int MAC_BYTES = 16;
    static final int CHECKSUM_BYTES = 4;
    public static final int MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES;
    private static final byte MAGIC = 'c';
    private static final byte FORMAT_VERSION = 1;
    /** So many datagrams of an older life are another process's. */
    static final int DUPLICATE_ID_THRESHOLD = 20;

    static final double INCARNATION_EXPIRY_MS = 10_000;
    /** Numbers behind the newest that may still come. */
    static final int REPLAY_WINDOW = 64;

    /** What has come: the sender's id, what it is about, the rest. */
    public record OpenedDatagram(long sender, byte topic, byte[] payload) {}

    private static final class Sender {
        long life = Long.MIN_VALUE;
        long newest = -1;
        long came;
        double heardMs = Double.NEGATIVE_INFINITY;
        /** Datagrams of an older life since the newest began: some are late, many are another process's. */
        int older;
    }

    private final long ownId;
    private final long incarnation;
    private final List<byte[]> keys;
    private final Map<Long, Sender> useSenders = new HashMap<>();
    /** Of the next datagram to each: a burst to many does not push what is late to one out of its window. */
    private final Map<Long, Long> nextNumbers = new HashMap<>();

    private boolean twin;

    /**
     * @param me this process's id
     * @param life larger with each start of the process: its start by the wall clock
     * @param keys the first signs; all of them are taken, so that a key is changed without a break; empty: nothing is
     *     signed
     * @param senders ids that may send; all others are dropped, so the table is bounded by them
     */
    public DatagramEnvelope(long me, long life, List<byte[]> keys, List<Long> senders) {
        this.ownId = me;
        this.incarnation = life;
        this.keys = keys.stream().map(byte[]::clone).toList();
        useSenders(senders);
    }

    /** Others from now on; those that stay are remembered. */
    public void useSenders(List<Long> ids) {
        useSenders.keySet().retainAll(ids);
        nextNumbers.keySet().retainAll(ids);
        ids.forEach(id -> useSenders.computeIfAbsent(id, k -> new Sender()));
    }

    /** A datagram to a peer with this in it, at most {@value #MOST_PAYLOAD} bytes. */
    public byte[] seal(long to, byte topic, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(payload.length + " bytes, at most " + MAX_PAYLOAD_BYTES);
        }
        ByteBuffer b = ByteBuffer.allocate(
                        HEADER_BYTES + payload.length + (keys.isEmpty() ? CHECKSUM_BYTES : MAC_BYTES))
                .put(MAGIC)
                .put(FORMAT_VERSION)
                .put(topic)
                .putLong(ownId)
                .putLong(incarnation)
                .putLong(nextNumbers.merge(to, 1L, Long::sum))
                .put(payload);
        b.put(keys.isEmpty() ? sum(b.array(), b.position()) : code(keys.get(0), b.array(), b.position()));
        return b.array();
    }

    /** Whose a datagram says that it is, before anything of it is believed; 0 where it says nothing. */
    public static long claimedSender(byte[] datagram) {
        return datagram.length < HEADER_BYTES ? 0 : ByteBuffer.wrap(datagram).getLong(3);
    }

    /** What is in a datagram that comes now, monotonic ms; null if it is not a peer's, not whole, or came before. */
    public OpenedDatagram open(byte[] datagram, double now) {
        int code = keys.isEmpty() ? CHECKSUM_BYTES : MAC_BYTES;
        if (datagram.length < HEADER_BYTES + code
                || datagram.length > MAX_DATAGRAM_BYTES
                || datagram[0] != MAGIC
                || datagram[1] != FORMAT_VERSION) {
            return null;
        }
        int length = datagram.length - code;
        ByteBuffer b = ByteBuffer.wrap(datagram, 2, length - 2);
        byte topic = b.get();
        long sender = b.getLong();
        Sender s = useSenders.get(sender);
        if (s == null || !whole(datagram, length)) {
            return null;
        }
        long of = b.getLong();
        if (sender == ownId) {
            twin |= of != incarnation;
            return null;
        }
        if (!isNew(s, of, b.getLong(), now)) {
            return null;
        }
        byte[] payload = new byte[b.remaining()];
        b.get(payload);
        return new OpenedDatagram(sender, topic, payload);
    }

    private static boolean isNew(Sender s, long of, long n, double now) {
        boolean forgotten = now - s.heardMs > INCARNATION_EXPIRY_MS;
        if (of < s.life && !forgotten || n < 0) {
            s.older++;
            return false;
        }
        s.heardMs = now;
        if (of != s.life) {
            s.life = of;
            s.newest = n;
            s.came = 1;
            s.older = 0;
            return true;
        }
        if (n > s.newest) {
            long by = n - s.newest;
            s.came = by >= REPLAY_WINDOW ? 1 : s.came << by | 1;
            s.newest = n;
            return true;
        }
        long behind = s.newest - n;
        if (behind >= REPLAY_WINDOW || (s.came >> behind & 1) != 0) {
            return false;
        }
        s.came |= 1L << behind;
        return true;
    }

    private static byte[] sum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return ByteBuffer.allocate(CHECKSUM_BYTES).putInt((int) crc.getValue()).array();
    }

    private boolean whole(byte[] datagram, int length) {
        if (keys.isEmpty()) {
            return Arrays.equals(sum(datagram, length), Arrays.copyOfRange(datagram, length, length + CHECKSUM_BYTES));
        }
        byte[] code = Arrays.copyOfRange(datagram, length, length + MAC_BYTES);
        return keys.stream().anyMatch(k -> MessageDigest.isEqual(code, code(k, datagram, length)));
    }

    private static byte[] code(byte[] key, byte[] bytes, int length) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }

    /** Ids under which two processes seem to send, this one's among them. */
    public List<Long> duplicateIds() {
        return useSenders.entrySet().stream()
                .filter(e -> e.getValue().older >= DUPLICATE_ID_THRESHOLD || e.getKey() == ownId && twin)
                .map(Map.Entry::getKey)
                .toList();
    }
}
