package cacheproxy.proxy.upstream;

import cacheproxy.proxy.net.ChunkedBuffer;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * The body of one response of the origin, buffered until it is complete. One buffer holds a short body; chunks of fixed
 * size hold the rest of a long one, as the received parts can have any size. Only a body whose length was not announced
 * can be long.
 */
final class BufferedBody {
    private static final int INITIAL_BYTES_OF_UNKNOWN_LENGTH = 1024;

    /** Null while no body is buffered, and after the body has been taken. */
    private ByteBuf first;
    /** Null while the body is short. */
    private ChunkedBuffer chunks;

    /** Begins an empty body. The announced length is negative if the length is unknown. */
    void begin(ByteBufAllocator allocator, long announcedLength) {
        int initialBytes = announcedLength < 0
                ? INITIAL_BYTES_OF_UNKNOWN_LENGTH
                : (int) Math.min(announcedLength, MetaCodec.MAX_BUFFERED_VALUE_BYTES);
        first = allocator.buffer(initialBytes, MetaCodec.MAX_BUFFERED_VALUE_BYTES);
    }

    /** Whether a body has begun and has been neither taken nor released. */
    boolean hasBegun() {
        return first != null;
    }

    /** Whether the body exceeds the maximum length of a short one. */
    boolean isLong() {
        return chunks != null;
    }

    /** The length so far. */
    int length() {
        return first.readableBytes() + (chunks == null ? 0 : chunks.length());
    }

    /**
     * Moves bytes of the part into the body, up to the maximum length of a short body. The rest, if any, stays in the
     * part.
     */
    void append(ByteBuf part) {
        first.writeBytes(part, Math.min(part.readableBytes(), first.maxWritableBytes()));
    }

    /** Moves all of the part into the body, which makes it a long one. */
    void appendLong(ByteBufAllocator allocator, ByteBuf part) {
        if (chunks == null) {
            chunks = new ChunkedBuffer();
        }
        chunks.append(allocator, part);
    }

    /** Returns a short body, to be released by the caller; null if none was buffered. */
    ByteBuf take() {
        ByteBuf body = first;
        first = null;
        return body;
    }

    /** Makes all of a long body available to {@link #takeChunk}. */
    void beginTaking() {
        chunks.prepend(first);
        first = null;
    }

    /** Returns the next part of a long body, to be released by the caller; null if all have been taken. */
    ByteBuf takeChunk() {
        return chunks.take();
    }

    /** Releases what has not been taken. */
    void release() {
        if (first != null) {
            first.release();
            first = null;
        }
        if (chunks != null) {
            chunks.release();
            chunks = null;
        }
    }
}
