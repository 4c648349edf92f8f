package cacheproxy.fleet.peer;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Seals and opens the datagrams between peers. Each has, in network byte order: magic (1 byte), format version (1),
 * topic (1), sender's id (8), sender's incarnation (8), sequence number (8), payload, and a trailer that protects all
 * before it ({@link DatagramAuthenticator}). Replayed datagrams and those of unknown senders are rejected. Not
 * thread-safe.
 */
public final class DatagramEnvelope {
    /** The longest datagram, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    static final int HEADER_BYTES = 27;
    /** The longest payload, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - DatagramAuthenticator.MAC_BYTES;

    private static final byte MAGIC = 'c';
    private static final byte FORMAT_VERSION = 1;
    private static final int TOPIC_OFFSET = 2;
    private static final int SENDER_OFFSET = 3;

    private final long ownId;
    private final long incarnation;
    private final DatagramAuthenticator authenticator;
    private final Map<Long, ReplayWindow> windows = new HashMap<>();
    /** Last sequence number to each receiver: a burst to many must not move the window of a single one. */
    private final Map<Long, Long> lastNumbers = new HashMap<>();

    private boolean ownIdIsDuplicate;

    /**
     * An envelope for one process.
     *
     * @param ownId this process's id
     * @param incarnation larger with each start of the process, such as its start by the wall clock in ms
     * @param keys the first one signs and each of them is accepted, so that a key can be rotated without interruption;
     *     empty: datagrams are not signed
     * @param senders ids whose datagrams are accepted; they bound the memory that is used
     */
    public DatagramEnvelope(long ownId, long incarnation, List<byte[]> keys, List<Long> senders) {
        this.ownId = ownId;
        this.incarnation = incarnation;
        authenticator = new DatagramAuthenticator(keys);
        setSenders(senders);
    }

    /** Replaces the ids whose datagrams are accepted; the history of those that stay is kept. */
    public void setSenders(List<Long> ids) {
        windows.keySet().retainAll(ids);
        lastNumbers.keySet().retainAll(ids);
        ids.forEach(id -> windows.computeIfAbsent(id, newId -> new ReplayWindow()));
    }

    /**
     * A datagram to a peer.
     *
     * @param payload at most {@value #MAX_PAYLOAD_BYTES} bytes
     * @throws IllegalArgumentException if the payload is longer
     */
    public byte[] seal(long to, byte topic, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(
                    "payload of " + payload.length + " bytes, at most " + MAX_PAYLOAD_BYTES + " fit a datagram");
        }
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length + authenticator.trailerBytes())
                .put(MAGIC)
                .put(FORMAT_VERSION)
                .put(topic)
                .putLong(ownId)
                .putLong(incarnation)
                .putLong(lastNumbers.merge(to, 1L, Long::sum))
                .put(payload);
        buffer.put(authenticator.trailer(buffer.array(), buffer.position()));
        return buffer.array();
    }

    /** The sender's id that a datagram states, before it is authenticated; 0 if it is too short to have one. */
    public static long claimedSender(byte[] datagram) {
        return datagram.length < HEADER_BYTES ? 0 : ByteBuffer.wrap(datagram).getLong(SENDER_OFFSET);
    }

    /**
     * The content of a datagram that has arrived.
     *
     * @param nowMs monotonic time
     * @return null if it is malformed, not authentic, of an unknown sender or replayed
     */
    public OpenedDatagram open(byte[] datagram, double nowMs) {
        if (!hasHeader(datagram)) {
            return null;
        }
        int length = datagram.length - authenticator.trailerBytes();
        ByteBuffer buffer = ByteBuffer.wrap(datagram, TOPIC_OFFSET, length - TOPIC_OFFSET);
        byte topic = buffer.get();
        long sender = buffer.getLong();
        ReplayWindow window = windows.get(sender);
        if (window == null || !authenticator.verifies(datagram, length)) {
            return null;
        }
        long senderIncarnation = buffer.getLong();
        if (sender == ownId) {
            ownIdIsDuplicate |= senderIncarnation != incarnation;
            return null;
        }
        if (!window.accept(senderIncarnation, buffer.getLong(), nowMs)) {
            return null;
        }
        byte[] payload = new byte[buffer.remaining()];
        buffer.get(payload);
        return new OpenedDatagram(sender, topic, payload);
    }

    private boolean hasHeader(byte[] datagram) {
        return datagram.length >= HEADER_BYTES + authenticator.trailerBytes()
                && datagram.length <= MAX_DATAGRAM_BYTES
                && datagram[0] == MAGIC
                && datagram[1] == FORMAT_VERSION;
    }

    /** Ids under which two processes seem to send, possibly this process's own. */
    public List<Long> duplicateIds() {
        return windows.entrySet().stream()
                .filter(entry -> entry.getValue().hasDuplicateId() || (entry.getKey() == ownId && ownIdIsDuplicate))
                .map(Map.Entry::getKey)
                .toList();
    }
}
