package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.net.ChunkedBuffer;
import cacheproxy.proxy.net.TimerWheel;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.WriteBufferWaterMark;

/**
 * A long value on its way to its client. If a value breaks off after its first byte, only the end of the connection
 * tells the client, and that end would take the responses behind the value along. So a value is streamed, that is
 * written as it arrives, only while no other command waits on the connection. Otherwise it is held: nothing of it is
 * written until all of it has arrived, so that a value that breaks off before then can still be answered by a line.
 *
 * <p>Held bytes are limited for all connections together by the {@link BufferBudget}, and for one connection to one
 * value: only the first response of a connection collects its value, and only while the client reads what was written
 * before. While the budget is exhausted, the source is paused. A value that is not whole within the time that its
 * client waits, counted from when it became the first response, is cancelled.
 */
final class LongValue {
    private final ClientConnection connection;
    private final Responder.ValueSource source;
    private final int lengthBytes;
    /** How long the client waits for the value once it is the first response, in milliseconds. */
    private final double patienceMs;
    /** Ends the value because it has not arrived in time. */
    private final Runnable cancel;

    private final BufferBudget budget;
    private final Runnable onMemoryAcquired = this::onMemoryAcquired;
    /** The head of the response, and what has arrived of the value; empty once the value has been shown. */
    private final ChunkedBuffer held = new ChunkedBuffer();
    /** A part of a streamed value that is ready to be written; null if there is none. */
    private ByteBuf readyPart;
    /** Whether the first byte has been written, so that the response can't be replaced any more. */
    private boolean shown;
    /** Whether the end of the value has arrived, or the value has broken off. */
    private boolean ended;

    private boolean streamOpen;

    private final MemoryAccount account;
    /** Bytes of {@link #held} that are counted as streamed, as they are not covered by the budget. */
    private int uncoveredBytes;

    private boolean memoryRequested;
    private boolean memoryAcquired;
    /** Acquired bytes of the budget that no write in progress will release. */
    private int reservedBytes;

    private TimerWheel.Timer timeout;

    /**
     * Creates a value of which nothing has arrived.
     *
     * @param head the first line of the response, which belongs to this object from now on
     */
    LongValue(
            ClientConnection connection,
            Responder.ValueSource source,
            ByteBuf head,
            int lengthBytes,
            double patienceMs,
            Runnable cancel) {
        this.connection = connection;
        this.source = source;
        this.lengthBytes = lengthBytes;
        this.patienceMs = patienceMs;
        this.cancel = cancel;
        budget = connection.loopContext().heldValueBudget();
        account = connection.loopContext().memory();
        held.prepend(head);
    }

    /** Returns whether the first byte has been written. */
    boolean isShown() {
        return shown;
    }

    /** Returns whether the client is being sent a value that may still break off. */
    boolean isAtRisk() {
        return shown && !ended && !source.isWhole();
    }

    // ---- from the source

    /** Adds a part, which is released. */
    void append(ByteBuf part) {
        if (shown) {
            readyPart = part;
        } else {
            if (!memoryAcquired) {
                uncoveredBytes += part.readableBytes();
                account.charge(MemoryPurpose.STREAMED_VALUE, part.readableBytes());
            }
            held.append(connection.allocator(), part);
            part.release();
        }
    }

    /** Records that the whole value has arrived. */
    void end() {
        append(MetaCodec.ascii(connection.allocator(), "\r\n"));
        stopReceiving();
    }

    /** Discards what has not been written, as the value has broken off or the connection has closed. */
    void release() {
        stopReceiving();
        held.release();
        if (readyPart != null) {
            readyPart.release();
            readyPart = null;
        }
        releaseMemory();
    }

    private void stopReceiving() {
        ended = true;
        cancelTimeout();
        if (streamOpen) {
            streamOpen = false;
            connection.loopContext().closeStream();
        }
    }

    /** Lets the source continue, as its parts are discarded from now on. */
    void resumeSource() {
        if (!ended) {
            source.setPaused(false);
        }
    }

    // ---- to the client

    /** Writes what may be written, as this is the first response; returns whether anything was written. */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    boolean writeReady(ChannelHandlerContext ctx) {
        if (!shown) {
            return (ended || mayStream()) && show(ctx);
        }
        if (readyPart == null) {
            return false;
        }
        ByteBuf part = readyPart;
        readyPart = null;
        int partBytes = part.readableBytes();
        account.charge(MemoryPurpose.STREAMED_VALUE, partBytes);
        ctx.write(part).addListener(sent -> account.release(MemoryPurpose.STREAMED_VALUE, partBytes));
        return true;
    }

    private boolean mayStream() {
        return source.isWhole() || !connection.hasCommandsBehindFirst();
    }

    private boolean show(ChannelHandlerContext ctx) {
        shown = true;
        cancelTimeout();
        if (!ended) {
            openStream();
        }
        for (ByteBuf chunk; (chunk = held.take()) != null; ) {
            writeHeld(ctx, chunk);
        }
        releaseMemory(); // what was acquired for bytes that will be streamed
        return true;
    }

    private void openStream() {
        int maxUnwrittenBytes = connection.loopContext().openStream();
        streamOpen = true;
        connection.setWriteBufferWaterMark(new WriteBufferWaterMark(maxUnwrittenBytes / 2, maxUnwrittenBytes));
        if (!source.isWhole()) {
            connection.pauseReading();
        }
    }

    private void writeHeld(ChannelHandlerContext ctx, ByteBuf chunk) {
        int coveredBytes = Math.min(reservedBytes, chunk.readableBytes());
        reservedBytes -= coveredBytes;
        int streamedBytes = chunk.readableBytes() - coveredBytes;
        account.charge(MemoryPurpose.STREAMED_VALUE, streamedBytes);
        ctx.write(chunk).addListener(sent -> {
            budget.release(coveredBytes);
            account.release(MemoryPurpose.STREAMED_VALUE, streamedBytes);
        });
    }

    /** Pauses the source, as this is not the first response. */
    void pause() {
        if (!ended) {
            source.setPaused(true);
        }
    }

    /**
     * Pauses or resumes the source, as this is the first response. A streamed value continues while the client reads
     * what is written; a held value also needs memory. The source may end the value from within this call.
     */
    void updateFlowControl(ChannelHandlerContext ctx) {
        if (ended) {
            return;
        }
        boolean clientReads = ctx.channel().isWritable();
        if (clientReads && !shown && !memoryRequested) {
            beginCollecting();
        }
        source.setPaused(!clientReads || !(shown || memoryAcquired));
    }

    // ---- memory and time of a held value

    private void beginCollecting() {
        memoryRequested = true;
        timeout = connection.loopContext().after(patienceMs, cancel);
        budget.acquire(lengthBytes, onMemoryAcquired);
    }

    private void onMemoryAcquired() {
        if (shown || ended) {
            budget.release(lengthBytes);
            return;
        }
        memoryAcquired = true;
        reservedBytes = lengthBytes;
        releaseUncovered(); // the budget covers the whole value
        connection.updateFlowControl();
    }

    private void releaseMemory() {
        if (memoryRequested && !memoryAcquired) {
            budget.withdraw(onMemoryAcquired);
        }
        int unusedBytes = reservedBytes;
        reservedBytes = 0;
        budget.release(unusedBytes);
        releaseUncovered();
    }

    private void releaseUncovered() {
        int bytes = uncoveredBytes;
        uncoveredBytes = 0;
        account.release(MemoryPurpose.STREAMED_VALUE, bytes);
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }
}
