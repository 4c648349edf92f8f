package cacheproxy.htcp;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies messages with a shared key: HMAC-MD5 (RFC 2104) over addresses, ports, version, times, DATA and
 * the key's name (RFC 2756). Reads no clock; confined to one thread. Replays are not detected here but by
 * {@code cacheproxy.siblings.ReplayGuard}.
 *
 * <p>Has no caller yet: receiving signed HTCP messages is on the roadmap.
 */
public final class HtcpSigner {
    private static final String ALGORITHM = "HmacMD5";

    private final String keyName;
    private final Mac mac;

    /** The result of verifying a signature. */
    public enum Verdict {
        VALID,
        NOT_SIGNED,
        /** Signed with a key of another name. */
        UNKNOWN_KEY,
        /** Signed in the future, by more than the allowed clock skew. */
        NOT_YET_VALID,
        EXPIRED,
        /** Signed with another secret, or changed after it was signed. */
        BAD_SIGNATURE
    }

    /**
     * Creates a signer for one shared key.
     *
     * @param secret the shared secret, not empty
     */
    public HtcpSigner(String keyName, byte[] secret) {
        this.keyName = keyName;
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Signs a message between two addresses. The signature is valid for this many seconds from now on. */
    public HtcpAuth sign(
            byte[] data, InetSocketAddress source, InetSocketAddress destination, int nowSeconds, int validitySeconds) {
        int expiresAtSeconds = nowSeconds + validitySeconds;
        return new HtcpAuth(
                nowSeconds,
                expiresAtSeconds,
                keyName,
                computeSignature(data, source, destination, 0, nowSeconds, expiresAtSeconds));
    }

    /**
     * Verifies the signature of a message between two addresses.
     *
     * @param nowSeconds the present time, in unsigned seconds of Unix time
     * @param maxSkewSeconds by how much the signer's clock may be ahead
     */
    public Verdict verify(
            HtcpDatagram datagram,
            InetSocketAddress source,
            InetSocketAddress destination,
            int nowSeconds,
            int maxSkewSeconds) {
        HtcpAuth auth = datagram.auth();
        if (auth == null) {
            return Verdict.NOT_SIGNED;
        }
        if (!auth.keyName().equals(keyName)) {
            return Verdict.UNKNOWN_KEY;
        }
        byte[] expected = computeSignature(
                datagram.data(),
                source,
                destination,
                datagram.minorVersion(),
                auth.signedAtSeconds(),
                auth.expiresAtSeconds());
        // Compared in constant time and before the times are checked, so that a sender without the key learns nothing
        // about this clock.
        return MessageDigest.isEqual(auth.signature(), expected)
                ? verifyTimes(auth, nowSeconds, maxSkewSeconds)
                : Verdict.BAD_SIGNATURE;
    }

    private static Verdict verifyTimes(HtcpAuth auth, int nowSeconds, int maxSkewSeconds) {
        long signedAt = Integer.toUnsignedLong(auth.signedAtSeconds());
        long expiresAt = Integer.toUnsignedLong(auth.expiresAtSeconds());
        long now = Integer.toUnsignedLong(nowSeconds);
        if (signedAt > now + maxSkewSeconds) {
            return Verdict.NOT_YET_VALID;
        }
        return expiresAt < now || expiresAt < signedAt ? Verdict.EXPIRED : Verdict.VALID;
    }

    private byte[] computeSignature(
            byte[] data,
            InetSocketAddress source,
            InetSocketAddress destination,
            int minorVersion,
            int signedAtSeconds,
            int expiresAtSeconds) {
        updateAddress(source);
        updateAddress(destination);
        mac.update(ByteBuffer.allocate(10)
                .put((byte) 0)
                .put((byte) minorVersion)
                .putInt(signedAtSeconds)
                .putInt(expiresAtSeconds)
                .flip());
        mac.update(data);
        byte[] name = keyName.getBytes(StandardCharsets.ISO_8859_1);
        updateShort(name.length);
        return mac.doFinal(name);
    }

    private void updateAddress(InetSocketAddress address) {
        mac.update(address.getAddress().getAddress());
        updateShort(address.getPort());
    }

    private void updateShort(int value) {
        mac.update(ByteBuffer.allocate(2).putShort((short) value).flip());
    }
}
