package cacheproxy.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What proxies tell one another of who is there (SWIM: Das, Gupta, Motivala, 2002): a question or an answer, and news
 * that travels with it.
 *
 * @param number of the question
 * @param about whom it asks or answers for: in PING and ACK the one that is asked
 */
public record SwimMessage(Kind kind, long sequenceNumber, long target, List<MemberUpdate> updates) {
    static final int HEADER_BYTES = 18;
    static final int UPDATE_BYTES = 13;
    /** So that a datagram holds them. */
    public static final int MAX_UPDATES = 12;

    /** What it is. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am; or: the one whom you had me ask is. */
        ACK,
        /** Ask that one for me. */
        PING_REQUEST,
        /** I have asked, and heard nothing so far. */
        NACK
    }

    /**
     * What somebody says of a peer; a higher incarnation, which only the peer itself gives out, goes before all of
     * lower ones.
     */
    public record MemberUpdate(long memberId, MemberStatus status, int incarnation) {}

    /** How a peer stands; of one incarnation the later of these goes before. */
    public enum MemberStatus {
        ALIVE,
        SUSPECT,
        DEAD
    }

    public SwimMessage {
        updates = List.copyOf(updates);
    }

    public byte[] bytes() {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + updates.size() * UPDATE_BYTES)
                .put((byte) kind.ordinal())
                .putLong(sequenceNumber)
                .putLong(target)
                .put((byte) updates.size());
        updates.forEach(
                n -> b.putLong(n.memberId).put((byte) n.status.ordinal()).putInt(n.incarnation));
        return b.array();
    }

    /** Null if these bytes are none. */
    public static SwimMessage of(byte[] bytes) {
        if (bytes.length < HEADER_BYTES
                || bytes[0] < 0
                || bytes[0] >= Kind.values().length
                || bytes[17] < 0
                || bytes[17] > MAX_UPDATES
                || bytes.length != HEADER_BYTES + bytes[17] * UPDATE_BYTES) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        Kind kind = Kind.values()[b.get()];
        long number = b.getLong();
        long about = b.getLong();
        int count = b.get();
        List<MemberUpdate> news = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long peer = b.getLong();
            byte standing = b.get();
            int incarnation = b.getInt();
            if (standing < 0 || standing >= MemberStatus.values().length || incarnation < 0) {
                return null;
            }
            news.add(new MemberUpdate(peer, MemberStatus.values()[standing], incarnation));
        }
        return new SwimMessage(kind, number, about, news);
    }
}
