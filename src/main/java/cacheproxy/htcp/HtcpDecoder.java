package cacheproxy.htcp;

import cacheproxy.htcp.HtcpMessage.Body;
import cacheproxy.htcp.HtcpMessage.CacheHeaders;
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

/** Decodes datagrams. Every length is checked against that of the enclosing field before it is used. */
final class HtcpDecoder {
    private static final int RESPONSE_BIT = 1;
    private static final int FLAG_BIT = 2;

    private HtcpDecoder() {}

    /** Decodes one datagram, as {@link HtcpCodec#decode} describes. */
    static HtcpDatagram decode(byte[] octets, int offset, int length) throws MalformedMessageException {
        ByteBuffer input = ByteBuffer.wrap(octets, offset, length).slice();
        int dataLength = checkLengths(input, length);
        int majorVersion = input.get(2) & 0xFF;
        int minorVersion = input.get(3) & 0xFF;
        byte[] data = new byte[dataLength];
        input.get(HtcpCodec.HEADER_LENGTH, data);
        int authStart = HtcpCodec.HEADER_LENGTH + dataLength;
        HtcpAuth auth = decodeAuth(input.slice(authStart, length - authStart));
        int opcode = (data[2] & 0xFF) >> 4;
        boolean isResponse = (data[3] & RESPONSE_BIT) != 0;
        HtcpMessage message = majorVersion == 0 && Opcode.of(opcode) != null
                ? decodeMessage(minorVersion, Opcode.of(opcode), data)
                : null;
        int transactionId = ByteBuffer.wrap(data).getInt(4);
        return new HtcpDatagram(majorVersion, minorVersion, opcode, transactionId, isResponse, message, auth, data);
    }

    /** Checks the lengths of the message and of DATA, and returns the latter. */
    private static int checkLengths(ByteBuffer input, int length) throws MalformedMessageException {
        if (length < HtcpCodec.HEADER_LENGTH + HtcpCodec.DATA_HEADER_LENGTH + HtcpCodec.NO_AUTH_LENGTH) {
            throw new MalformedMessageException("shorter than header, data and authentication can be");
        }
        if ((input.getShort(0) & 0xFFFF) != length) {
            throw new MalformedMessageException("message length is not that of the datagram");
        }
        int dataLength = input.getShort(HtcpCodec.HEADER_LENGTH) & 0xFFFF;
        if (dataLength < HtcpCodec.DATA_HEADER_LENGTH
                || dataLength > length - HtcpCodec.HEADER_LENGTH - HtcpCodec.NO_AUTH_LENGTH) {
            throw new MalformedMessageException("length of DATA is not within the message");
        }
        return dataLength;
    }

    /** Decodes AUTH; octets after it are padding. Returns null if the message is not signed. */
    private static HtcpAuth decodeAuth(ByteBuffer input) throws MalformedMessageException {
        int length = input.getShort(0) & 0xFFFF;
        if (length == HtcpCodec.NO_AUTH_LENGTH) {
            return null;
        }
        if (length < HtcpCodec.MIN_AUTH_LENGTH || length > input.remaining()) {
            throw new MalformedMessageException("length of AUTH is not within the message");
        }
        ByteBuffer auth = input.slice(2, length - 2);
        try {
            int signedAtSeconds = auth.getInt();
            int expiresAtSeconds = auth.getInt();
            String keyName = readCountstr(auth);
            byte[] signature = readCountstr(auth).getBytes(StandardCharsets.ISO_8859_1);
            if (auth.hasRemaining()) {
                throw new MalformedMessageException("octets behind the signature");
            }
            return new HtcpAuth(signedAtSeconds, expiresAtSeconds, keyName, signature);
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("AUTH ends early");
        }
    }

    private static HtcpMessage decodeMessage(int minorVersion, Opcode opcode, byte[] data)
            throws MalformedMessageException {
        int responseCode = data[2] & 15;
        boolean isResponse = (data[3] & RESPONSE_BIT) != 0;
        boolean flag = (data[3] & FLAG_BIT) != 0;
        int transactionId = ByteBuffer.wrap(data).getInt(4);
        Body body = isResponse && flag ? new Empty() : decodeBody(opcode, responseCode, isResponse, data);
        return new HtcpMessage(minorVersion, opcode, responseCode, flag, isResponse, transactionId, body);
    }

    private static Body decodeBody(Opcode opcode, int responseCode, boolean isResponse, byte[] data)
            throws MalformedMessageException {
        ByteBuffer input = ByteBuffer.wrap(
                        data, HtcpCodec.DATA_HEADER_LENGTH, data.length - HtcpCodec.DATA_HEADER_LENGTH)
                .slice();
        try {
            Body body = isResponse ? decodeResponseBody(opcode, responseCode, input) : decodeRequestBody(opcode, input);
            if (input.hasRemaining()) {
                throw new MalformedMessageException("octets behind OP-DATA");
            }
            return body;
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("OP-DATA ends early");
        }
    }

    private static Body decodeRequestBody(Opcode opcode, ByteBuffer input) throws MalformedMessageException {
        return switch (opcode) {
            case NOP -> new Empty();
            case TST -> readSpecifier(input);
            case MON -> new Monitor(input.get() & 0xFF);
            case SET -> readIdentity(input);
            case CLR -> {
                int reason = input.getShort() & 15; // the other 12 bits are reserved
                yield new Clear(reason, readSpecifier(input));
            }
        };
    }

    private static Body decodeResponseBody(Opcode opcode, int code, ByteBuffer input) throws MalformedMessageException {
        return switch (opcode) {
            case NOP, SET, CLR -> new Empty();
            case TST -> code == HtcpMessage.TST_PRESENT ? readDetail(input) : new CacheHeaders(readCountstr(input));
            case MON -> code == HtcpMessage.MON_ACCEPTED ? readChange(input) : new Empty();
        };
    }

    private static Change readChange(ByteBuffer input) throws MalformedMessageException {
        int remainingSeconds = input.get() & 0xFF;
        int actionAndReason = input.get() & 0xFF;
        return new Change(remainingSeconds, actionAndReason >> 4, actionAndReason & 15, readIdentity(input));
    }

    private static Specifier readSpecifier(ByteBuffer input) throws MalformedMessageException {
        return new Specifier(readCountstr(input), readCountstr(input), readCountstr(input), readCountstr(input));
    }

    private static Detail readDetail(ByteBuffer input) throws MalformedMessageException {
        return new Detail(readCountstr(input), readCountstr(input), readCountstr(input));
    }

    private static Identity readIdentity(ByteBuffer input) throws MalformedMessageException {
        return new Identity(readSpecifier(input), readDetail(input));
    }

    /** COUNTSTR: a length of 16 bits, which does not count itself, followed by that many octets. */
    private static String readCountstr(ByteBuffer input) throws MalformedMessageException {
        int length = input.getShort() & 0xFFFF;
        if (length > input.remaining()) {
            throw new MalformedMessageException("a string is longer than what holds it");
        }
        byte[] octets = new byte[length];
        input.get(octets);
        return new String(octets, StandardCharsets.ISO_8859_1);
    }
}
