package cacheproxy.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A message between members, with gossip. Its bytes, in network byte order: kind (1 byte), sequence number (8), target
 * (8), number of updates (1), and for each update member (8), status (1) and incarnation (4).
 *
 * @param kind the kind of request or reply
 * @param sequenceNumber the number of the ping or ping request that this message is or replies to
 * @param target the member that is pinged
 * @param updates gossip, at most {@value #MAX_UPDATES}
 */
public record SwimMessage(SwimMessageKind kind, long sequenceNumber, long target, List<MemberUpdate> updates) {
    static final int HEADER_BYTES = 18;
    static final int UPDATE_BYTES = 13;
    /** Maximum number of updates that fit into a datagram between peers. */
    public static final int MAX_UPDATES = 12;

    private static final int COUNT_OFFSET = 17;

    /** Copies the updates. */
    public SwimMessage {
        updates = List.copyOf(updates);
    }

    /** Returns the encoded message. */
    public byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + updates.size() * UPDATE_BYTES)
                .put(kind.wireCode())
                .putLong(sequenceNumber)
                .putLong(target)
                .put((byte) updates.size());
        updates.forEach(update -> buffer.putLong(update.memberId())
                .put(update.status().wireCode())
                .putInt(update.incarnation()));
        return buffer.array();
    }

    /** Decodes a message; null if the bytes are malformed. */
    public static SwimMessage decode(byte[] bytes) {
        if (!hasValidLength(bytes)) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        SwimMessageKind kind = SwimMessageKind.fromWireCode(buffer.get());
        if (kind == null) {
            return null;
        }
        long sequenceNumber = buffer.getLong();
        long target = buffer.getLong();
        int count = buffer.get();
        List<MemberUpdate> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            MemberUpdate update = readUpdate(buffer);
            if (update == null) {
                return null;
            }
            updates.add(update);
        }
        return new SwimMessage(kind, sequenceNumber, target, updates);
    }

    private static boolean hasValidLength(byte[] bytes) {
        return bytes.length >= HEADER_BYTES
                && bytes[COUNT_OFFSET] >= 0
                && bytes[COUNT_OFFSET] <= MAX_UPDATES
                && bytes.length == HEADER_BYTES + bytes[COUNT_OFFSET] * UPDATE_BYTES;
    }

    private static MemberUpdate readUpdate(ByteBuffer buffer) {
        long memberId = buffer.getLong();
        MemberStatus status = MemberStatus.fromWireCode(buffer.get());
        int incarnation = buffer.getInt();
        return status == null || incarnation < 0 ? null : new MemberUpdate(memberId, status, incarnation);
    }
}
