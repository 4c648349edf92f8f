package cacheproxy.htcp;

import cacheproxy.htcp.HtcpMessage.Body;
import cacheproxy.htcp.HtcpMessage.CacheHeaders;
import cacheproxy.htcp.HtcpMessage.Change;
import cacheproxy.htcp.HtcpMessage.Clear;
import cacheproxy.htcp.HtcpMessage.Detail;
import cacheproxy.htcp.HtcpMessage.Identity;
import cacheproxy.htcp.HtcpMessage.Monitor;
import cacheproxy.htcp.HtcpMessage.Specifier;
import java.nio.BufferOverflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes messages. */
final class HtcpEncoder {
    private static final int MAX_DATA_LENGTH =
            HtcpCodec.MAX_LENGTH - HtcpCodec.HEADER_LENGTH - HtcpCodec.NO_AUTH_LENGTH;
    private static final int MAX_TEXT_LENGTH = 0xFFFF;

    private HtcpEncoder() {}

    /** Encodes DATA, as {@link HtcpCodec#encodeData} describes. */
    static byte[] encodeData(HtcpMessage message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_DATA_LENGTH);
        try {
            out.position(2); // the length, which is known only at the end
            out.put((byte) (message.opcode().code() << 4 | message.responseCode()))
                    .put((byte) ((message.flag() ? 2 : 0) | (message.isResponse() ? 1 : 0)))
                    .putInt(message.transactionId());
            putBody(out, message.body());
        } catch (BufferOverflowException e) {
            throw new IllegalArgumentException("more than " + HtcpCodec.MAX_LENGTH + " octets", e);
        }
        out.putShort(0, (short) out.position());
        return Arrays.copyOf(out.array(), out.position());
    }

    private static void putBody(ByteBuffer out, Body body) {
        if (body instanceof Specifier specifier) {
            putTexts(out, specifier.method(), specifier.uri(), specifier.version(), specifier.headers());
        } else if (body instanceof Detail detail) {
            putTexts(out, detail.responseHeaders(), detail.entityHeaders(), detail.cacheHeaders());
        } else if (body instanceof CacheHeaders cacheHeaders) {
            putTexts(out, cacheHeaders.headers());
        } else if (body instanceof Identity identity) {
            putBody(out, identity.specifier());
            putBody(out, identity.detail());
        } else if (body instanceof Monitor monitor) {
            out.put((byte) monitor.durationSeconds());
        } else if (body instanceof Change change) {
            out.put((byte) change.remainingSeconds()).put((byte) (change.action() << 4 | change.reason()));
            putBody(out, change.identity());
        } else if (body instanceof Clear clear) {
            out.putShort((short) clear.reason());
            putBody(out, clear.specifier());
        }
    }

    private static void putTexts(ByteBuffer out, String... texts) {
        for (String text : texts) {
            byte[] octets = text.getBytes(StandardCharsets.ISO_8859_1);
            if (octets.length > MAX_TEXT_LENGTH) {
                throw new IllegalArgumentException("a text of " + octets.length + " octets is too long");
            }
            putCountstr(out, octets);
        }
    }

    /** COUNTSTR: a length of 16 bits, which does not count itself, followed by that many octets. */
    private static void putCountstr(ByteBuffer out, byte[] octets) {
        out.putShort((short) octets.length).put(octets);
    }

    /** Encodes a datagram, as {@link HtcpCodec#encodeDatagram} describes. */
    static byte[] encodeDatagram(byte[] data, HtcpAuth auth) {
        byte[] keyName = auth == null ? new byte[0] : auth.keyName().getBytes(StandardCharsets.ISO_8859_1);
        int authLength = auth == null
                ? HtcpCodec.NO_AUTH_LENGTH
                : HtcpCodec.MIN_AUTH_LENGTH + keyName.length + auth.signature().length;
        int length = HtcpCodec.HEADER_LENGTH + data.length + authLength;
        if (length > HtcpCodec.MAX_LENGTH) {
            throw new IllegalArgumentException(length + " octets are too many for a datagram");
        }
        ByteBuffer out = ByteBuffer.allocate(length)
                .putShort((short) length)
                .put((byte) 0)
                .put((byte) 0)
                .put(data)
                .putShort((short) authLength);
        if (auth != null) {
            out.putInt(auth.signedAtSeconds()).putInt(auth.expiresAtSeconds());
            putCountstr(out, keyName);
            putCountstr(out, auth.signature());
        }
        return out.array();
    }
}
