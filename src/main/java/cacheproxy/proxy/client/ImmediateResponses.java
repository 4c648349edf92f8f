package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryPurpose;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;

/**
 * The lines by which the proxy itself responds to commands that no open request precedes, such as errors. The lines of
 * one slice of commands are written together, and a client that does not read them is not read from.
 */
final class ImmediateResponses {
    /** The bytes that may be written and not read by the client before no further commands are taken. */
    private static final int MAX_UNREAD_BYTES = 4 << 10;

    private static final int INITIAL_BATCH_BYTES = 1 << 10;

    private final ClientConnection connection;
    /** Lines that are not written yet; null if there are none. */
    private ByteBuf batch;

    private int unreadBytes;

    ImmediateResponses(ClientConnection connection) {
        this.connection = connection;
    }

    /** Adds a line, which includes its line end. */
    void add(String line) {
        if (batch == null) {
            batch = connection.allocator().buffer(INITIAL_BATCH_BYTES);
        }
        ByteBufUtil.writeAscii(batch, line);
    }

    boolean isEmpty() {
        return batch == null;
    }

    /** Returns whether the client has to read lines before further commands are taken. */
    boolean isFull() {
        return unreadBytes >= MAX_UNREAD_BYTES;
    }

    /** Writes the lines without flushing; returns whether there were any. */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    boolean write(ChannelHandlerContext ctx) {
        if (batch == null) {
            return false;
        }
        ByteBuf written = batch;
        batch = null;
        int bytes = written.readableBytes();
        unreadBytes += bytes;
        connection.admission().memory().charge(MemoryPurpose.QUEUED_RESPONSE, bytes);
        ctx.write(written).addListener(sent -> sent(bytes));
        return true;
    }

    private void sent(int bytes) {
        unreadBytes -= bytes;
        connection.admission().memory().release(MemoryPurpose.QUEUED_RESPONSE, bytes);
        connection.admission().resumeReading();
    }

    /** Releases the lines that are not written, as the connection has closed. */
    void close() {
        if (batch != null) {
            batch.release();
            batch = null;
        }
    }
}
