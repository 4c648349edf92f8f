package cacheproxy.icp;

import cacheproxy.icp.IcpMessage.Opcode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/**
 * Encodes and decodes datagrams of ICP version 2 (RFC 2186). Every length is checked against the datagram before memory
 * of that length is allocated. Stateless.
 *
 * <pre>
 *  0  opcode      1  version     2  message length (16 bits)
 *  4  request number             8  options
 * 12  option data               16  sender host address
 * 20  payload: QUERY: requester host address (32 bits), URL, NUL
 *              HIT_OBJ: URL, NUL, object size (16 bits), object
 *              all others: URL, NUL
 * </pre>
 */
@SuppressWarnings("StaticAssignmentOfThrowable") // the exceptions have no stack trace
public final class IcpCodec {
    private static final int VERSION = 2;
    private static final int VERSION_OFFSET = 1;
    private static final int LENGTH_OFFSET = 2;
    private static final int REQUEST_NUMBER_OFFSET = 4;
    private static final int OPTIONS_OFFSET = 8;
    private static final int OPTION_DATA_OFFSET = 12;
    private static final int SENDER_OFFSET = 16;
    private static final int HEADER_LENGTH = 20;
    private static final int ADDRESS_LENGTH = 4;
    private static final int OBJECT_SIZE_LENGTH = 2;
    private static final byte NUL = 0;
    private static final int DELETE = 127;
    private static final int KNOWN_OPTIONS = IcpMessage.FLAG_HIT_OBJ | IcpMessage.FLAG_SRC_RTT;

    private static final MalformedMessageException TOO_SHORT = new MalformedMessageException("shorter than a header");
    private static final MalformedMessageException TOO_LONG =
            new MalformedMessageException("longer than " + IcpMessage.MAX_LENGTH + " octets");
    private static final MalformedMessageException LENGTH_MISMATCH =
            new MalformedMessageException("message length is not that of the datagram");
    private static final MalformedMessageException UNKNOWN_VERSION = new MalformedMessageException("version is not 2");
    private static final MalformedMessageException UNKNOWN_OPCODE =
            new MalformedMessageException("opcode is none of RFC 2186");
    private static final MalformedMessageException UNTERMINATED_URL =
            new MalformedMessageException("URL does not end within the message");
    private static final MalformedMessageException ILLEGAL_URL =
            new MalformedMessageException("URL has octets that are not printing US-ASCII");
    private static final MalformedMessageException TRAILING_OCTETS =
            new MalformedMessageException("octets behind the payload");
    private static final MalformedMessageException OBJECT_SIZE_MISMATCH =
            new MalformedMessageException("object is not as long as it says");

    private IcpCodec() {}

    /**
     * Decodes one datagram, from the buffer's reader index to its end. The caller keeps the buffer, which is not
     * changed. Option bits without a meaning are cleared, so that no caller acts on them.
     *
     * @throws MalformedMessageException if the datagram is not an ICP message and is to be dropped
     */
    public static IcpMessage decode(ByteBuf input) throws MalformedMessageException {
        int start = input.readerIndex();
        Opcode opcode = checkHeader(input, start);
        int urlStart = start + HEADER_LENGTH;
        int requesterAddress = 0;
        if (opcode == Opcode.QUERY) {
            if (input.readableBytes() < HEADER_LENGTH + ADDRESS_LENGTH) {
                throw UNTERMINATED_URL;
            }
            requesterAddress = input.getInt(urlStart);
            urlStart += ADDRESS_LENGTH;
        }
        int urlEnd = findUrlEnd(input, urlStart);
        byte[] object = readObject(input, opcode, urlEnd + 1);
        return new IcpMessage(
                opcode,
                input.getInt(start + REQUEST_NUMBER_OFFSET),
                input.getInt(start + OPTIONS_OFFSET) & KNOWN_OPTIONS,
                input.getInt(start + OPTION_DATA_OFFSET),
                input.getInt(start + SENDER_OFFSET),
                requesterAddress,
                input.toString(urlStart, urlEnd - urlStart, StandardCharsets.US_ASCII),
                object);
    }

    private static Opcode checkHeader(ByteBuf input, int start) throws MalformedMessageException {
        int length = input.readableBytes();
        if (length < HEADER_LENGTH) {
            throw TOO_SHORT;
        }
        if (length > IcpMessage.MAX_LENGTH) {
            throw TOO_LONG;
        }
        if (input.getUnsignedShort(start + LENGTH_OFFSET) != length) {
            throw LENGTH_MISMATCH;
        }
        if (input.getByte(start + VERSION_OFFSET) != VERSION) {
            throw UNKNOWN_VERSION;
        }
        Opcode opcode = Opcode.of(input.getUnsignedByte(start));
        if (opcode == null) {
            throw UNKNOWN_OPCODE;
        }
        return opcode;
    }

    /** Returns the index of the NUL that ends the URL. */
    private static int findUrlEnd(ByteBuf input, int urlStart) throws MalformedMessageException {
        int end = input.indexOf(urlStart, input.writerIndex(), NUL);
        if (end < 0) {
            throw UNTERMINATED_URL;
        }
        for (int i = urlStart; i < end; i++) {
            int octet = input.getByte(i); // signed: octets from 128 on are negative and thus below the space
            if (octet <= ' ' || octet == DELETE) {
                throw ILLEGAL_URL;
            }
        }
        return end;
    }

    /**
     * Returns the object after the URL. For opcodes without an object, returns null and checks that nothing follows the
     * URL.
     */
    private static byte[] readObject(ByteBuf input, Opcode opcode, int start) throws MalformedMessageException {
        int remaining = input.writerIndex() - start;
        if (opcode != Opcode.HIT_OBJ) {
            if (remaining != 0) {
                throw TRAILING_OCTETS;
            }
            return null;
        }
        int size = remaining - OBJECT_SIZE_LENGTH;
        if (size < 0 || input.getUnsignedShort(start) != size) {
            throw OBJECT_SIZE_MISMATCH;
        }
        byte[] object = new byte[size];
        input.getBytes(start + OBJECT_SIZE_LENGTH, object);
        return object;
    }

    /** Returns the length of an encoded message, in octets. */
    public static int encodedLength(IcpMessage message) {
        return HEADER_LENGTH
                + (message.opcode() == Opcode.QUERY ? ADDRESS_LENGTH : 0)
                + message.url().length()
                + 1
                + (message.opcode() == Opcode.HIT_OBJ ? OBJECT_SIZE_LENGTH + message.object().length : 0);
    }

    /**
     * Encodes a message into a buffer that the caller releases.
     *
     * @throws IllegalArgumentException if the message is too long, has an object that its opcode does not allow, lacks
     *     one that its opcode requires, or has illegal options or an illegal URL
     */
    public static ByteBuf encode(ByteBufAllocator allocator, IcpMessage message) {
        int length = encodedLength(message);
        if (length > IcpMessage.MAX_LENGTH) {
            throw new IllegalArgumentException(length + " octets are too many for an ICP message");
        }
        if (!isEncodable(message)) {
            throw new IllegalArgumentException("not a valid ICP message: " + message);
        }
        ByteBuf out = allocator.buffer(length, length);
        out.writeByte(message.opcode().code())
                .writeByte(VERSION)
                .writeShort(length)
                .writeInt(message.requestNumber())
                .writeInt(message.options())
                .writeInt(message.optionData())
                .writeInt(message.senderAddress());
        if (message.opcode() == Opcode.QUERY) {
            out.writeInt(message.requesterAddress());
        }
        out.writeCharSequence(message.url(), StandardCharsets.US_ASCII);
        out.writeByte(NUL);
        if (message.opcode() == Opcode.HIT_OBJ) {
            out.writeShort(message.object().length).writeBytes(message.object());
        }
        return out;
    }

    private static boolean isEncodable(IcpMessage message) {
        boolean objectFitsOpcode = (message.object() != null) == (message.opcode() == Opcode.HIT_OBJ);
        boolean optionsAreKnown = (message.options() & ~KNOWN_OPTIONS) == 0;
        return objectFitsOpcode
                && optionsAreKnown
                && message.url().chars().allMatch(character -> character > ' ' && character < DELETE);
    }
}
