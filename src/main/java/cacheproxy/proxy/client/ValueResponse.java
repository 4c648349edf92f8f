package cacheproxy.proxy.client;

import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

/** Encodes responses that carry a value: the head with the length and the echoed flags, the value, and a line end. */
final class ValueResponse {
    /** The maximum length of a response without the value and the echo: {@code VA}, the length and two line ends. */
    private static final int MAX_FRAME_BYTES = 24;

    private ValueResponse() {}

    /** The most that the response with a value of this length takes, in bytes. */
    static int maxBytes(String echo, int valueBytes) {
        return MAX_FRAME_BYTES + echo.length() + valueBytes;
    }

    /** The first line of the response, with its end. */
    static ByteBuf head(ByteBufAllocator allocator, String echo, int valueBytes) {
        return MetaCodec.ascii(allocator, "VA " + valueBytes + echo + "\r\n");
    }

    /**
     * The whole response in one buffer. The value stays the caller's.
     *
     * @throws OutOfMemoryError if there is no memory for the buffer
     */
    static ByteBuf whole(ByteBufAllocator allocator, String echo, ByteBuf value) {
        int valueBytes = value.readableBytes();
        ByteBuf response = allocator.buffer(maxBytes(echo, valueBytes));
        ByteBufUtil.writeAscii(response, "VA ");
        MetaCodec.writeDecimal(response, valueBytes);
        ByteBufUtil.writeAscii(response, echo);
        response.writeShort(MetaCodec.CRLF)
                .writeBytes(value, value.readerIndex(), valueBytes)
                .writeShort(MetaCodec.CRLF);
        return response;
    }
}
