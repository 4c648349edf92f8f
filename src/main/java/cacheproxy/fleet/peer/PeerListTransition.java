package cacheproxy.fleet.peer;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * Which lists of peers the others go by. A list is changed in two steps, by way of both lists at once, and the second
 * is safe only when all have taken the first; each process tells what it goes by, and this says of each how it stands
 * to one's own. It warns; it stops nothing, since one wrong file would else end everybody's duties.
 */
public final class PeerListTransition {
    public static final int MESSAGE_BYTES = 16;
    /** What a peer told longer ago says nothing any more. */
    public static final double REPORT_EXPIRY_MS = 60_000;

    /** How a peer's lists stand to one's own. */
    public enum PeerListRelation {
        /** The same step of the same change. */
        SAME,
        /** One step before or behind: safe. */
        ONE_STEP_APART,
        /** No voter need be in both. */
        DIFFERENT,
        /** Nothing was heard lately. */
        UNKNOWN
    }

    private record Told(double atMs, long now, long before) {}

    private long now;
    private long before;
    private final Map<Long, Told> told = new HashMap<>();

    /**
     * What this process goes by: the list, and the one that is being left, empty if none is. Others than these are
     * forgotten.
     */
    public void update(Set<String> list, Set<String> leaving, Set<Long> peers) {
        now = digest(list);
        before = leaving.isEmpty() ? 0 : digest(leaving);
        told.keySet().retainAll(peers);
    }

    private static long digest(Set<String> names) {
        CRC32C crc = new CRC32C();
        long n = 0;
        for (String name : new TreeSet<>(names)) {
            crc.update((name + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8));
            n++;
        }
        return n << 32 | crc.getValue(); // never 0: a list has a name
    }

    /** What to tell the others. */
    public byte[] message() {
        return ByteBuffer.allocate(MESSAGE_BYTES).putLong(now).putLong(before).array();
    }

    /** A peer has told what it goes by. */
    public void receive(double atMs, long peer, byte[] message) {
        if (message.length == MESSAGE_BYTES) {
            ByteBuffer b = ByteBuffer.wrap(message);
            told.put(peer, new Told(atMs, b.getLong(), b.getLong()));
        }
    }

    public PeerListRelation relationOf(long peer, double atMs) {
        Told t = told.get(peer);
        if (t == null || atMs - t.atMs > REPORT_EXPIRY_MS) {
            return PeerListRelation.UNKNOWN;
        }
        if (t.now == now && t.before == before) {
            return PeerListRelation.SAME;
        }
        boolean begun = t.before == 0 && before != 0 && (t.now == before || t.now == now);
        boolean behind = before == 0 && t.before != 0 && (now == t.before || now == t.now);
        return begun || behind ? PeerListRelation.ONE_STEP_APART : PeerListRelation.DIFFERENT;
    }
}
