package cacheproxy.discovery;

import java.nio.ByteBuffer;

/**
 * The message by which proxies of a zone share a {@link DelegatedWatch}: a heartbeat of the lease holder, or a
 * correction sent to it by a proxy with a newer list. Encoded as {@value #LENGTH_BYTES} bytes in network order: one for
 * the kind, then the other components in their order.
 *
 * @param correction whether this is a correction; otherwise it is a heartbeat
 * @param leaseId the id of the lease whose holder long-polls
 * @param epoch the epoch of the lease, which is its fencing token, not negative; 0 in a correction
 * @param sequence the number of the heartbeat, not negative, increasing within an epoch so that late and repeated
 *     heartbeats are recognised; 0 in a correction
 * @param version the version of the sender's list
 */
public record WatchVersionMessage(boolean correction, long leaseId, long epoch, long sequence, long version) {
    /** Size of an encoded message in bytes. */
    public static final int LENGTH_BYTES = 33;

    /** A heartbeat of the holder of a lease. */
    static WatchVersionMessage heartbeat(long leaseId, long epoch, long sequence, long version) {
        return new WatchVersionMessage(false, leaseId, epoch, sequence, version);
    }

    /** A correction, sent to the holder of a lease by a proxy that has a newer list. */
    static WatchVersionMessage correction(long leaseId, long version) {
        return new WatchVersionMessage(true, leaseId, 0, 0, version);
    }

    /** Returns the encoded message. */
    public byte[] encode() {
        return ByteBuffer.allocate(LENGTH_BYTES)
                .put((byte) (correction ? 1 : 0))
                .putLong(leaseId)
                .putLong(epoch)
                .putLong(sequence)
                .putLong(version)
                .array();
    }

    /** Decodes a message; null if the bytes are not a valid one. */
    public static WatchVersionMessage decode(byte[] bytes) {
        if (bytes.length != LENGTH_BYTES || bytes[0] < 0 || bytes[0] > 1) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        WatchVersionMessage message = new WatchVersionMessage(
                buffer.get() == 1, buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
        return message.epoch < 0 || message.sequence < 0 ? null : message;
    }
}
