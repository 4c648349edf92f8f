package cacheproxy.fleet.healthcheck;

import java.nio.ByteBuffer;

/**
 * A message about the health check of a server: {@value #MESSAGE_BYTES} bytes, in the order of the components and in
 * network byte order, the same layout for all kinds. Fields that a kind does not use are 0.
 *
 * @param kind the kind of request or reply
 * @param leaseId the lease of the server's share
 * @param server the server's id
 * @param requestNumber the number of the request that this message is or replies to
 * @param epoch in a result: the epoch of the lease, not negative
 * @param leaseHolder in a redirect: the proxy to send the request to instead; 0 if it is not known
 * @param healthy in a result: whether the server answered
 * @param ageMs in a result: time since the check, not negative
 */
public record HealthCheckMessage(
        HealthCheckMessageKind kind,
        long leaseId,
        int server,
        long requestNumber,
        long epoch,
        long leaseHolder,
        boolean healthy,
        int ageMs) {
    /** Bytes of each message. */
    public static final int MESSAGE_BYTES = 42;

    /** Creates a request for a check of a server. */
    static HealthCheckMessage request(long leaseId, int server, long requestNumber) {
        return new HealthCheckMessage(HealthCheckMessageKind.REQUEST, leaseId, server, requestNumber, 0, 0, false, 0);
    }

    /**
     * Creates a reply that redirects a request to the lease holder; if the holder is 0, the requesting proxy makes its
     * own check.
     */
    static HealthCheckMessage redirect(HealthCheckMessage request, long leaseHolder) {
        return new HealthCheckMessage(
                HealthCheckMessageKind.REDIRECT,
                request.leaseId,
                request.server,
                request.requestNumber,
                0,
                leaseHolder,
                false,
                0);
    }

    /** Returns the encoded message. */
    public byte[] encode() {
        return ByteBuffer.allocate(MESSAGE_BYTES)
                .put(kind.wireCode())
                .putLong(leaseId)
                .putInt(server)
                .putLong(requestNumber)
                .putLong(epoch)
                .putLong(leaseHolder)
                .put((byte) (healthy ? 1 : 0))
                .putInt(ageMs)
                .array();
    }

    /** Decodes a message; null if the bytes are malformed. */
    public static HealthCheckMessage decode(byte[] bytes) {
        if (bytes.length != MESSAGE_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        HealthCheckMessageKind kind = HealthCheckMessageKind.fromWireCode(buffer.get());
        if (kind == null) {
            return null;
        }
        HealthCheckMessage message = new HealthCheckMessage(
                kind,
                buffer.getLong(),
                buffer.getInt(),
                buffer.getLong(),
                buffer.getLong(),
                buffer.getLong(),
                buffer.get() == 1,
                buffer.getInt());
        return message.epoch < 0 || message.ageMs < 0 ? null : message;
    }
}
