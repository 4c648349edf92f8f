package cacheproxy.htcp;

import cacheproxy.htcp.HtcpMessage.Body;
import cacheproxy.htcp.HtcpMessage.Change;
import cacheproxy.htcp.HtcpMessage.Clear;
import cacheproxy.htcp.HtcpMessage.Detail;
import cacheproxy.htcp.HtcpMessage.Empty;
import cacheproxy.htcp.HtcpMessage.Identity;
import cacheproxy.htcp.HtcpMessage.Monitor;
import cacheproxy.htcp.HtcpMessage.Opcode;
import cacheproxy.htcp.HtcpMessage.Specifier;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * HTCP/0.0 to and from datagrams (RFC 2756). Every length is checked against what holds it before it is believed.
 * Numbers are in network order.
 *
 * <pre>
 * HEADER  0  length of the message (16)    2  major   3  minor
 * DATA    4  length of DATA (16)           6  opcode (4), response (4)   7  reserved (6), F1, RR
 *         8  transaction (32)             12  OP-DATA
 * AUTH       length of AUTH (16); alone where there is none; else time (32), expiry (32), key name, signature
 * </pre>
 */
public final class HtcpCodec {
    /** A datagram over UDP can't be longer; HTCP has no bound of its own but its 16 bits. */
    public static final int MAX_LENGTH = 65_507;

    static final int HEADER = 4;
    static final int DATA_HEAD = 8;

    private HtcpCodec() {}

    /** What is wrong with a datagram. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message, null, false, false); // no trace: a flood of bad datagrams must stay cheap
        }
    }

    /**
     * The signature of a message.
     *
     * @param time when it was made, seconds of Unix time
     * @param expires until when it holds
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    public record Auth(int time, int expires, String keyName, byte[] signature) {
        @Override
        public boolean equals(Object o) {
            return o instanceof Auth a
                    && a.time == time
                    && a.expires == expires
                    && a.keyName.equals(keyName)
                    && Arrays.equals(a.signature, signature);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(signature);
        }
    }

    /**
     * What a datagram holds.
     *
     * @param major 0, or another, of which nothing but the transaction is read
     * @param message null where major or opcode is not known; {@code opcode} tells the latter
     * @param auth null: not signed
     * @param data the octets of DATA, which a signature covers
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    public record Datagram(
            int major,
            int minor,
            int opcode,
            int transaction,
            boolean reply,
            HtcpMessage message,
            Auth auth,
            byte[] data) {}

    /**
     * Reads one datagram.
     *
     * @throws Malformed what is wrong with it; it is to be dropped
     */
    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    public static Datagram decode(byte[] bytes, int offset, int length) throws Malformed {
        ByteBuffer in = ByteBuffer.wrap(bytes, offset, length).slice();
        if (length < HEADER + DATA_HEAD + 2) {
            throw new Malformed("shorter than header, data and authentication can be");
        }
        if ((in.getShort(0) & 0xFFFF) != length) {
            throw new Malformed("message length is not that of the datagram");
        }
        int major = in.get(2) & 0xFF;
        int minor = in.get(3) & 0xFF;
        int dataLength = in.getShort(4) & 0xFFFF;
        if (dataLength < DATA_HEAD || dataLength > length - HEADER - 2) {
            throw new Malformed("length of DATA is not within the message");
        }
        int codes = in.get(6) & 0xFF;
        int flags = in.get(7);
        boolean reply = (flags & 1) != 0;
        int transaction = in.getInt(8);
        byte[] data = new byte[dataLength];
        in.get(HEADER, data);
        Auth auth = auth(in.slice(HEADER + dataLength, length - HEADER - dataLength));
        int opcode = codes >> 4;
        HtcpMessage message = null;
        if (major == 0 && opcode < Opcode.values().length) {
            boolean flag = (flags & 2) != 0;
            ByteBuffer op =
                    ByteBuffer.wrap(data, DATA_HEAD, dataLength - DATA_HEAD).slice();
            try {
                Body body = reply && flag ? new Empty() : body(Opcode.values()[opcode], codes & 15, reply, op);
                if (op.hasRemaining() && !(reply && flag)) {
                    throw new Malformed("octets behind OP-DATA");
                }
                message = new HtcpMessage(minor, Opcode.values()[opcode], codes & 15, flag, reply, transaction, body);
            } catch (BufferUnderflowException e) {
                throw new Malformed("OP-DATA ends early");
            }
        }
        return new Datagram(major, minor, opcode, transaction, reply, message, auth, data);
    }

    /** Octets behind it are padding. */
    private static Auth auth(ByteBuffer in) throws Malformed {
        int length = in.getShort(0) & 0xFFFF;
        if (length == 2) {
            return null;
        }
        if (length < 14 || length > in.remaining()) {
            throw new Malformed("length of AUTH is not within the message");
        }
        ByteBuffer auth = in.slice(2, length - 2);
        try {
            int time = auth.getInt();
            int expires = auth.getInt();
            String key = text(auth);
            byte[] signature = text(auth).getBytes(StandardCharsets.ISO_8859_1);
            if (auth.hasRemaining()) {
                throw new Malformed("octets behind the signature");
            }
            return new Auth(time, expires, key, signature);
        } catch (BufferUnderflowException e) {
            throw new Malformed("AUTH ends early");
        }
    }

    private static Body body(Opcode opcode, int response, boolean reply, ByteBuffer in) throws Malformed {
        return switch (opcode) {
            case NOP -> new Empty();
            case TST ->
                !reply
                        ? specifier(in)
                        : response == HtcpMessage.TST_PRESENT ? detail(in) : new HtcpMessage.CacheHeaders(text(in));
            case MON -> {
                if (!reply) {
                    yield new Monitor(in.get() & 0xFF);
                }
                if (response != HtcpMessage.MON_ACCEPTED) {
                    yield new Empty();
                }
                int seconds = in.get() & 0xFF;
                int what = in.get() & 0xFF;
                yield new Change(seconds, what >> 4, what & 15, identity(in));
            }
            case SET -> reply ? new Empty() : identity(in);
            case CLR -> {
                if (reply) {
                    yield new Empty();
                }
                int reason = in.getShort() & 15; // 12 reserved bits before it
                yield new Clear(reason, specifier(in));
            }
        };
    }

    private static Specifier specifier(ByteBuffer in) throws Malformed {
        return new Specifier(text(in), text(in), text(in), text(in));
    }

    private static Detail detail(ByteBuffer in) throws Malformed {
        return new Detail(text(in), text(in), text(in));
    }

    private static Identity identity(ByteBuffer in) throws Malformed {
        return new Identity(specifier(in), detail(in));
    }

    /** COUNTSTR: a length of 16 bits that does not count itself, and so many octets. */
    private static String text(ByteBuffer in) throws Malformed {
        int n = in.getShort() & 0xFFFF;
        if (n > in.remaining()) {
            throw new Malformed("a string is longer than what holds it");
        }
        byte[] bytes = new byte[n];
        in.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    // ---- writing

    /**
     * The octets of DATA, which a signature covers. @throws IllegalArgumentException if a text or the whole is too long
     */
    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    public static byte[] data(HtcpMessage m) {
        ByteBuffer out = ByteBuffer.allocate(MAX_LENGTH - HEADER - 2);
        try {
            out.position(2);
            out.put((byte) (m.opcode().ordinal() << 4 | m.response()))
                    .put((byte) ((m.flag() ? 2 : 0) | (m.reply() ? 1 : 0)))
                    .putInt(m.transaction());
            put(out, m.body());
        } catch (java.nio.BufferOverflowException e) {
            throw new IllegalArgumentException("more than " + MAX_LENGTH + " octets");
        }
        out.putShort(0, (short) out.position());
        return Arrays.copyOf(out.array(), out.position());
    }

    private static void put(ByteBuffer out, Body body) {
        if (body instanceof Specifier s) {
            put(out, s.method(), s.uri(), s.version(), s.headers());
        } else if (body instanceof Detail d) {
            put(out, d.responseHeaders(), d.entityHeaders(), d.cacheHeaders());
        } else if (body instanceof HtcpMessage.CacheHeaders c) {
            put(out, c.headers());
        } else if (body instanceof Identity i) {
            put(out, i.specifier());
            put(out, i.detail());
        } else if (body instanceof Monitor m) {
            out.put((byte) m.seconds());
        } else if (body instanceof Change c) {
            out.put((byte) c.seconds()).put((byte) (c.action() << 4 | c.reason()));
            put(out, c.identity());
        } else if (body instanceof Clear c) {
            out.putShort((short) c.reason());
            put(out, c.specifier());
        }
    }

    private static void put(ByteBuffer out, String... texts) {
        for (String t : texts) {
            byte[] bytes = t.getBytes(StandardCharsets.ISO_8859_1);
            if (bytes.length > 0xFFFF) {
                throw new IllegalArgumentException("a text of " + bytes.length + " octets");
            }
            out.putShort((short) bytes.length).put(bytes);
        }
    }

    /** A datagram of this DATA, signed or not. */
    public static byte[] datagram(byte[] data, Auth auth) {
        byte[] key = auth == null ? new byte[0] : auth.keyName().getBytes(StandardCharsets.ISO_8859_1);
        int authLength = auth == null ? 2 : 14 + key.length + auth.signature().length;
        int length = HEADER + data.length + authLength;
        if (length > MAX_LENGTH) {
            throw new IllegalArgumentException(length + " octets");
        }
        ByteBuffer out = ByteBuffer.allocate(length)
                .putShort((short) length)
                .put((byte) 0)
                .put((byte) 0)
                .put(data)
                .putShort((short) authLength);
        if (auth != null) {
            out.putInt(auth.time())
                    .putInt(auth.expires())
                    .putShort((short) key.length)
                    .put(key)
                    .putShort((short) auth.signature().length)
                    .put(auth.signature());
        }
        return out.array();
    }
}
