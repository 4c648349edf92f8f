package cacheproxy.proxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayDeque;

/**
 * A queue of bytes that arrive in parts of any size. They are copied into chunks of fixed size: a small part that was
 * kept as it is would keep the whole buffer that it was read into. Used on one thread only.
 */
public final class ChunkedBuffer {
    private static final int CHUNK_BYTES = 16 << 10;

    private final ArrayDeque<ByteBuf> chunks = new ArrayDeque<>();
    private int length;

    /** The number of bytes that have been added and not taken. */
    public int length() {
        return length;
    }

    /** Moves all bytes of the part to the end. The part still has to be released by the caller. */
    public void append(ByteBufAllocator allocator, ByteBuf part) {
        length += part.readableBytes();
        while (part.isReadable()) {
            ByteBuf last = chunks.peekLast();
            if (last == null || !last.isWritable()) {
                last = allocator.buffer(CHUNK_BYTES, CHUNK_BYTES);
                chunks.add(last);
            }
            last.writeBytes(part, Math.min(part.readableBytes(), last.writableBytes()));
        }
    }

    /** Inserts a buffer at the front, which the queue owns from now on. */
    public void prepend(ByteBuf buffer) {
        length += buffer.readableBytes();
        chunks.addFirst(buffer);
    }

    /** Returns the next chunk, to be released by the caller; null if all bytes have been taken. */
    public ByteBuf take() {
        ByteBuf chunk = chunks.poll();
        if (chunk != null) {
            length -= chunk.readableBytes();
        }
        return chunk;
    }

    /** Releases all bytes that have not been taken. */
    public void release() {
        chunks.forEach(ByteBuf::release);
        chunks.clear();
        length = 0;
    }
}
