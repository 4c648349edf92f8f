package cacheproxy.icp;

import cacheproxy.icp.IcpMessage.Opcode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/**
 * ICP version 2 to and from datagrams (RFC 2186). Every field is checked against the datagram before it is believed;
 * nothing is allocated by a length that was not.
 *
 * <pre>
 *  0  opcode      1  version     2  message length (16)
 *  4  request number             8  options
 * 12  option data               16  sender host address
 * 20  payload: query: requester host address (32), URL, NUL; hit_obj: URL, NUL, object size (16), object; else URL, NUL
 * </pre>
 */
@SuppressWarnings("StaticAssignmentOfThrowable") // no stack trace is taken: a flood of bad datagrams must stay cheap
public final class IcpCodec {
    static final int HEADER = 20;
    static final int VERSION = 2;
    private static final int KNOWN_OPTIONS = IcpMessage.HIT_OBJ | IcpMessage.SRC_RTT;

    private IcpCodec() {}

    /** What is wrong with a datagram, in words without its content. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message, null, false, false); // no trace: a flood of bad datagrams must stay cheap
        }
    }

    private static final Malformed SHORT = new Malformed("shorter than a header");
    private static final Malformed LONG = new Malformed("longer than " + IcpMessage.MAX_LENGTH + " octets");
    private static final Malformed LENGTH = new Malformed("message length is not that of the datagram");
    private static final Malformed OTHER_VERSION = new Malformed("version is not 2");
    private static final Malformed OPCODE = new Malformed("opcode is none of RFC 2186");
    private static final Malformed NO_URL = new Malformed("URL does not end within the message");
    private static final Malformed ODD_URL = new Malformed("URL has octets that are not printing US-ASCII");
    private static final Malformed REST = new Malformed("octets behind the payload");
    private static final Malformed OBJECT = new Malformed("object is not as long as it says");

    /**
     * Reads one datagram, from the buffer's reader index to its end; the buffer stays the caller's.
     *
     * @throws Malformed what is wrong with it; it is to be dropped
     */
    public static IcpMessage decode(ByteBuf in) throws Malformed {
        int at = in.readerIndex();
        int length = in.readableBytes();
        if (length < HEADER) {
            throw SHORT;
        }
        if (length > IcpMessage.MAX_LENGTH) {
            throw LONG;
        }
        if (in.getUnsignedShort(at + 2) != length) {
            throw LENGTH;
        }
        if (in.getByte(at + 1) != VERSION) {
            throw OTHER_VERSION;
        }
        Opcode opcode = Opcode.of(in.getUnsignedByte(at));
        if (opcode == null) {
            throw OPCODE;
        }
        int from = at + HEADER;
        int requester = 0;
        if (opcode == Opcode.QUERY) {
            if (length < HEADER + 4) {
                throw NO_URL;
            }
            requester = in.getInt(from);
            from += 4;
        }
        int end = in.indexOf(from, at + length, (byte) 0);
        if (end < 0) {
            throw NO_URL;
        }
        for (int i = from; i < end; i++) {
            int b = in.getByte(i);
            if (b <= ' ' || b == 127) {
                throw ODD_URL;
            }
        }
        int behind = at + length - end - 1;
        byte[] object = null;
        if (opcode == Opcode.HIT_OBJ) {
            if (behind < 2 || in.getUnsignedShort(end + 1) != behind - 2) {
                throw OBJECT;
            }
            object = new byte[behind - 2];
            in.getBytes(end + 3, object);
        } else if (behind != 0) {
            throw REST;
        }
        // Bits without a meaning are left out, so that no caller acts on one ("Options").
        return new IcpMessage(
                opcode,
                in.getInt(at + 4),
                in.getInt(at + 8) & KNOWN_OPTIONS,
                in.getInt(at + 12),
                in.getInt(at + 16),
                requester,
                in.toString(from, end - from, StandardCharsets.US_ASCII),
                object);
    }

    /** Octets of a message. */
    public static int length(IcpMessage m) {
        return HEADER
                + (m.opcode() == Opcode.QUERY ? 4 : 0)
                + m.url().length()
                + 1
                + (m.opcode() == Opcode.HIT_OBJ ? 2 + m.object().length : 0);
    }

    /**
     * A datagram, the caller's to release.
     *
     * @throws IllegalArgumentException if it would be too long, has an object where none belongs or a URL that can't be
     */
    public static ByteBuf encode(ByteBufAllocator alloc, IcpMessage m) {
        int length = length(m);
        if (length > IcpMessage.MAX_LENGTH) {
            throw new IllegalArgumentException(length + " octets");
        }
        if ((m.object() != null) != (m.opcode() == Opcode.HIT_OBJ)
                || (m.options() & ~KNOWN_OPTIONS) != 0
                || !m.url().chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new IllegalArgumentException("no message of ICP: " + m);
        }
        ByteBuf out = alloc.buffer(length, length);
        out.writeByte(m.opcode().code)
                .writeByte(VERSION)
                .writeShort(length)
                .writeInt(m.requestNumber())
                .writeInt(m.options())
                .writeInt(m.optionData())
                .writeInt(m.sender());
        if (m.opcode() == Opcode.QUERY) {
            out.writeInt(m.requester());
        }
        out.writeCharSequence(m.url(), StandardCharsets.US_ASCII);
        out.writeByte(0);
        if (m.opcode() == Opcode.HIT_OBJ) {
            out.writeShort(m.object().length).writeBytes(m.object());
        }
        return out;
    }
}
