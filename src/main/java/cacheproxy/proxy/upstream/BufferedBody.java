package cacheproxy.proxy.upstream;

import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayDeque;

/**
 * The body of one response of the origin, buffered until it is complete: one buffer for a short body, and chunks for
 * what a long one has beyond that, as parts may be of any size. It is long only if its length was not announced.
 */
final class BufferedBody {
    private static final int INITIAL_BYTES_OF_UNKNOWN_LENGTH = 1024;
    private static final int CHUNK_BYTES = 16 << 10;

    /** Null while no body is buffered, and once its owner has taken it. */
    private ByteBuf first;
    /** Null while the body is short. */
    private ArrayDeque<ByteBuf> chunks;

    private int chunkBytes;

    /** Begins an empty body, of a length that may be announced; negative if it was not. */
    void begin(ByteBufAllocator allocator, long announcedLength) {
        int initialBytes = announcedLength < 0
                ? INITIAL_BYTES_OF_UNKNOWN_LENGTH
                : (int) Math.min(announcedLength, MetaCodec.MAX_BUFFERED_VALUE_BYTES);
        first = allocator.buffer(initialBytes, MetaCodec.MAX_BUFFERED_VALUE_BYTES);
    }

    /** Whether a body has begun that nobody has taken or released. */
    boolean hasBegun() {
        return first != null;
    }

    /** Whether the body is longer than a short one may be. */
    boolean isLong() {
        return chunks != null;
    }

    /** The length so far. */
    int length() {
        return first.readableBytes() + chunkBytes;
    }

    /** Moves as much of the part into the body as a short one may have. The rest, if any, stays in the part. */
    void append(ByteBuf part) {
        first.writeBytes(part, Math.min(part.readableBytes(), first.maxWritableBytes()));
    }

    /** Moves all of the part into the body, which thereby is long. */
    void appendLong(ByteBufAllocator allocator, ByteBuf part) {
        if (chunks == null) {
            chunks = new ArrayDeque<>();
        }
        chunkBytes += part.readableBytes();
        while (part.isReadable()) {
            ByteBuf last = chunks.peekLast();
            if (last == null || !last.isWritable()) {
                last = allocator.buffer(CHUNK_BYTES, CHUNK_BYTES);
                chunks.add(last);
            }
            last.writeBytes(part, Math.min(part.readableBytes(), last.writableBytes()));
        }
    }

    /** Returns a short body, to be released by the caller; null if none was buffered. */
    ByteBuf take() {
        ByteBuf body = first;
        first = null;
        return body;
    }

    /** Makes all of a long body available to {@link #takeChunk}. */
    void beginTaking() {
        chunks.addFirst(first);
        first = null;
    }

    /** Returns the next part of a long body, to be released by the caller; null if all have been taken. */
    ByteBuf takeChunk() {
        return chunks.poll();
    }

    /** Releases what has not been taken. */
    void release() {
        if (first != null) {
            first.release();
            first = null;
        }
        if (chunks != null) {
            chunks.forEach(ByteBuf::release);
            chunks = null;
            chunkBytes = 0;
        }
    }
}
