package cacheproxy.fleet.peer;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Seals and opens the datagrams between peers. Each has, in network byte order: magic (1 byte), format version (1),
 * topic (1), sender's id (8), sender's incarnation (8), sequence number (8), payload, and a trailer that protects all
 * preceding bytes ({@link DatagramAuthenticator}). Replayed datagrams and datagrams from unknown senders are rejected.
 * Not thread-safe.
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
    /**
     * The last sequence number sent to each receiver. Receivers are counted separately, because a burst to many must
     * not move the window of a single one.
     */
    private final Map<Long, Long> lastNumbers = new HashMap<>();

    private boolean ownIdIsDuplicate;

    /**
     * Creates an envelope for one process.
     *
     * @param ownId this process's id
     * @param incarnation larger with each start of the process, such as its start by the wall clock in ms
     * @param keys the first key signs and each of them is accepted, so that a key can be rotated without interruption;
     *     if empty, datagrams are not signed
     * @param senders the ids whose datagrams are accepted; their number bounds the memory that is used
     */
    public DatagramEnvelope(long ownId, long incarnation, List<byte[]> keys, List<Long> senders) {
        this.ownId = ownId;
        this.incarnation = incarnation;
        authenticator = new DatagramAuthenticator(keys);
        setSenders(senders);
    }

    /** Replaces the ids whose datagrams are accepted; the replay windows of ids that remain are kept. */
    public void setSenders(List<Long> ids) {
        windows.keySet().retainAll(ids);
        lastNumbers.keySet().retainAll(ids);
        ids.forEach(id -> windows.computeIfAbsent(id, newId -> new ReplayWindow()));
    }

    /**
     * Returns a sealed datagram to a peer.
     *
     * @param payload at most {@value #MAX_PAYLOAD_BYTES} bytes
     * @throws IllegalArgumentException if the payload is longer
     */
    public byte[] seal(long to, byte topic, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(
                    "payload of " + payload.length + " bytes; at most " + MAX_PAYLOAD_BYTES + " fit into a datagram");
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

    /**
     * Returns the sender's id as stated in a datagram that has not been authenticated; 0 if the datagram is too short.
     */
    public static long claimedSender(byte[] datagram) {
        return datagram.length < HEADER_BYTES ? 0 : ByteBuffer.wrap(datagram).getLong(SENDER_OFFSET);
    }

    /**
     * Verifies a received datagram and returns its content.
     *
     * @param nowMs monotonic time
     * @return null if the datagram is malformed, not authentic, from an unknown sender or replayed
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

    /** Returns the ids under which two processes seem to send, possibly including this process's own. */
    public List<Long> duplicateIds() {
        return windows.entrySet().stream()
                .filter(entry -> entry.getValue().hasDuplicateId() || (entry.getKey() == ownId && ownIdIsDuplicate))
                .map(Map.Entry::getKey)
                .toList();
    }
}
