package cacheproxy.htcp;

import cacheproxy.htcp.HtcpCodec.Auth;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and checks messages by a shared key: HMAC-MD5 (RFC 2104) over addresses, ports, version, times, DATA and the
 * key's name (RFC 2756). Times come in. What it does not do: remember what it has seen; {@code siblings.ReplayGuard}
 * does.
 */
public final class HtcpSigner {
    private final String name;
    private final Mac mac;

    /** @param secret not empty */
    public HtcpSigner(String name, byte[] secret) {
        this.name = name;
        try {
            mac = Mac.getInstance("HmacMD5");
            mac.init(new SecretKeySpec(secret, "HmacMD5"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Why a signature does not hold. */
    public enum Verdict {
        GOOD,
        NOT_SIGNED,
        OTHER_KEY,
        NOT_YET,
        EXPIRED,
        WRONG
    }

    /** A signature for a message from here to there that holds for so many seconds from then on. */
    public Auth sign(byte[] data, InetSocketAddress from, InetSocketAddress to, int now, int seconds) {
        return new Auth(now, now + seconds, name, digest(data, from, to, 0, now, now + seconds));
    }

    /**
     * Whether a signature holds now.
     *
     * @param now seconds of Unix time
     * @param skew seconds by which the other's clock may be ahead
     */
    public Verdict check(HtcpCodec.Datagram d, InetSocketAddress from, InetSocketAddress to, int now, int skew) {
        Auth a = d.auth();
        if (a == null) {
            return Verdict.NOT_SIGNED;
        }
        if (!a.keyName().equals(name)) {
            return Verdict.OTHER_KEY;
        }
        // Compared in constant time, and before the times: who has no key learns nothing of our clock.
        if (!MessageDigest.isEqual(a.signature(), digest(d.data(), from, to, d.minor(), a.time(), a.expires()))) {
            return Verdict.WRONG;
        }
        long made = Integer.toUnsignedLong(a.time());
        long until = Integer.toUnsignedLong(a.expires());
        long at = Integer.toUnsignedLong(now);
        return made > at + skew ? Verdict.NOT_YET : until < at || until < made ? Verdict.EXPIRED : Verdict.GOOD;
    }

    private byte[] digest(byte[] data, InetSocketAddress from, InetSocketAddress to, int minor, int time, int expires) {
        put(from);
        put(to);
        byte[] key = name.getBytes(StandardCharsets.ISO_8859_1);
        mac.update(ByteBuffer.allocate(10)
                .put((byte) 0)
                .put((byte) minor)
                .putInt(time)
                .putInt(expires)
                .flip());
        mac.update(data);
        mac.update(ByteBuffer.allocate(2).putShort((short) key.length).flip());
        return mac.doFinal(key);
    }

    private void put(InetSocketAddress a) {
        mac.update(a.getAddress().getAddress());
        mac.update(ByteBuffer.allocate(2).putShort((short) a.getPort()).flip());
    }
}
