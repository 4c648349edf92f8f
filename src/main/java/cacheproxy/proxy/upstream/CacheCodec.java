package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.PolicyApi;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.SocketAddress;
import java.util.List;

/**
 * Codec for the meta text protocol of cache servers and sibling proxies. A long value is streamed as it arrives; other
 * responses are passed on when they are complete. Responses carry the id of their request; a different id shows that
 * the responses on the connection are out of order.
 */
final class CacheCodec extends ByteToMessageDecoder implements UpstreamCodec {
    /** The cache status that the server has reported: none, a hit or a miss. */
    private static final int CACHE_STATUS_UNKNOWN = 0;

    private static final int CACHE_STATUS_HIT = 1;
    private static final int CACHE_STATUS_MISS = 2;

    private static final String ERROR_PREFIX = "SERVER_ERROR";
    private static final String VALUE_PREFIX = "VA ";
    private static final String STORED_PREFIX = "HD ";
    private static final String MISS = "EN";
    private static final String STAT_PREFIX = "STAT ";

    private static final char ID_FLAG = 'O';
    private static final char HIT_FLAG = 'h';
    private static final char FETCH_PENDING_FLAG = 'Z';
    private static final char LOAD_FLAG = 'L';
    private static final char RECEIPT_FLAG = 'c';

    /** What is done with the value that is being read. */
    private enum Delivery {
        /** It is passed on when it is whole. */
        WHOLE,
        /** It is passed on as it arrives. */
        STREAMED,
        /** It is discarded as it arrives, as no client waits for it or there is no memory for it. */
        DISCARDED
    }

    private static final int CRLF_BYTES = 2;
    /** The value of {@link #remainingBytes} between values. */
    private static final int NO_VALUE = -1;

    private final UpstreamConnection connection;
    private final ResponseReceiver responses;
    /** Unread bytes of the value and its line terminator; {@link #NO_VALUE} if a line is expected next. */
    private int remainingBytes = NO_VALUE;

    private int valueBytes;
    private Delivery delivery;
    /** Read from the flags of the current response, like {@link #loadReport}. */
    private int cacheStatus;

    private float[] loadReport;
    /** The load metrics that a probe's response has contained so far. */
    private String stats = "";

    CacheCodec(UpstreamConnection connection) {
        this.connection = connection;
        responses = connection.responses();
        connection.setCodec(this);
    }

    @Override
    public ChannelFuture write(Channel channel, Attempt attempt, SocketAddress server) {
        return CacheRequestEncoder.write(
                channel, attempt, connection.loopContext().nowMs());
    }

    // ---- input

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        connection.loopContext().handling();
        connection.setReading(true);
        super.channelRead(ctx, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        connection.setReading(false);
        // Does not call the superclass, which would read on if it had decoded no message, even while reading is
        // suspended.
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> out) {
        try {
            if (remainingBytes >= 0) {
                decodeValue(input);
            } else {
                decodeLine(input);
            }
        } catch (MetaCodec.SyntaxException e) {
            input.skipBytes(input.readableBytes());
            remainingBytes = NO_VALUE;
            connection.onProtocolError(e.getMessage());
        }
    }

    private void decodeLine(ByteBuf input) throws MetaCodec.SyntaxException {
        String line = MetaCodec.readLine(input);
        if (line != null) {
            onLine(line);
        } else if (input.isReadable()) {
            responses.onPartialResponse();
        }
    }

    private void onLine(String line) throws MetaCodec.SyntaxException {
        Attempt attempt = responses.currentAttempt();
        if (attempt == null) {
            throw new MetaCodec.SyntaxException("no request is waiting for a response");
        }
        if (attempt.isProbe()) {
            onProbeLine(attempt, line);
        } else if (line.startsWith(ERROR_PREFIX)) {
            onError(attempt, line);
        } else if (line.startsWith(VALUE_PREFIX) && !attempt.request().isWrite()) {
            onValueLine(attempt, line);
        } else if (line.startsWith(STORED_PREFIX) && attempt.request().isWrite()) {
            onStored(attempt, line);
        } else if (line.startsWith(MISS)) {
            onMiss(attempt, line);
        } else {
            throw new MetaCodec.SyntaxException("unexpected response line");
        }
    }

    // ---- responses of one line

    private void onError(Attempt attempt, String line) {
        AttemptOutcome outcome = line.startsWith(MetaCodec.BUSY_PREFIX) ? AttemptOutcome.FULL : AttemptOutcome.ERROR;
        String load = MetaCodec.flagArgument(line, MetaCodec.BUSY_PREFIX.length() + 1, LOAD_FLAG);
        responses.onResponse(outcome, CACHE_STATUS_UNKNOWN, attempt.protocol().loadReportIn(load));
    }

    private void onStored(Attempt attempt, String line) throws MetaCodec.SyntaxException {
        readFlags(attempt, line, STORED_PREFIX.length());
        String receipt = MetaCodec.flagArgument(line, STORED_PREFIX.length(), RECEIPT_FLAG);
        boolean sound = receipt == null ? attempt.protocol().stockServers() : MetaCodec.isReceipt(receipt);
        if (!sound) {
            throw new MetaCodec.SyntaxException("no receipt");
        }
        responses.onResponse(AttemptOutcome.OK, cacheStatus, loadReport, null, receipt);
    }

    private void onMiss(Attempt attempt, String line) throws MetaCodec.SyntaxException {
        if (attempt.protocol().stockServers() && line.equals(MISS)) {
            // Stock servers send no id with a miss, but their responses are in order.
            cacheStatus = CACHE_STATUS_MISS;
            loadReport = null;
        } else {
            readFlags(attempt, line, MISS.length() + 1);
        }
        responses.onResponse(AttemptOutcome.MISS, cacheStatus, loadReport);
    }

    private void onProbeLine(Attempt attempt, String line) {
        if (line.startsWith(STAT_PREFIX)) {
            String name = MetaCodec.tokenAt(line, STAT_PREFIX.length());
            String value = MetaCodec.tokenAt(line, STAT_PREFIX.length() + name.length() + 1);
            stats += name + "=" + value + ",";
            return;
        }
        boolean healthy = line.equals("MN") || line.equals("END");
        float[] probeReport =
                MetaCodec.parseLoadReport(stats, attempt.protocol().loadReportFields());
        stats = "";
        responses.onResponse(healthy ? AttemptOutcome.OK : AttemptOutcome.ERROR, CACHE_STATUS_UNKNOWN, probeReport);
    }

    /** Reads the flags, whose id must match the attempt's request. */
    private void readFlags(Attempt attempt, String line, int from) throws MetaCodec.SyntaxException {
        if (!MetaCodec.hasFlag(line, from, ID_FLAG, attempt.request().id())) {
            throw new MetaCodec.SyntaxException("the response has the id of another request");
        }
        cacheStatus = readCacheStatus(line, from);
        loadReport = attempt.protocol().loadReportIn(MetaCodec.flagArgument(line, from, LOAD_FLAG));
    }

    private static int readCacheStatus(String line, int from) {
        if (MetaCodec.hasFlag(line, from, HIT_FLAG, "1")) {
            return CACHE_STATUS_HIT;
        }
        if (!MetaCodec.hasFlag(line, from, HIT_FLAG, "0")) {
            return CACHE_STATUS_UNKNOWN;
        }
        boolean fetchPending = MetaCodec.flagArgument(line, from, FETCH_PENDING_FLAG) != null;
        return fetchPending ? PolicyApi.CACHE_STATUS_FETCH_PENDING : CACHE_STATUS_MISS;
    }

    // ---- values

    private void onValueLine(Attempt attempt, String line) throws MetaCodec.SyntaxException {
        String length = MetaCodec.tokenAt(line, VALUE_PREFIX.length());
        valueBytes = MetaCodec.parseLength(length);
        readFlags(attempt, line, VALUE_PREFIX.length() + length.length() + 1);
        remainingBytes = valueBytes + CRLF_BYTES;
        delivery = beginValue();
    }

    private Delivery beginValue() {
        if (valueBytes > MetaCodec.MAX_BUFFERED_VALUE_BYTES) {
            return responses.onLongValueBegin(valueBytes) ? Delivery.STREAMED : Delivery.DISCARDED;
        }
        return responses.onShortValueBegin(valueBytes) ? Delivery.WHOLE : Delivery.DISCARDED;
    }

    private void decodeValue(ByteBuf input) throws MetaCodec.SyntaxException {
        if (delivery != Delivery.WHOLE) {
            decodeParts(input);
        } else if (input.readableBytes() < remainingBytes) {
            responses.onPartialResponse();
        } else {
            requireCrlf(input, input.readerIndex() + valueBytes);
            ByteBuf value = input.readRetainedSlice(valueBytes);
            input.skipBytes(CRLF_BYTES);
            remainingBytes = NO_VALUE;
            responses.onResponse(AttemptOutcome.OK, cacheStatus, loadReport, value, null);
        }
    }

    /**
     * Passes on or discards the available bytes of the value. The value is complete only after the line end that
     * follows it has been checked.
     */
    private void decodeParts(ByteBuf input) throws MetaCodec.SyntaxException {
        int partBytes = Math.min(remainingBytes - CRLF_BYTES, input.readableBytes());
        if (partBytes > 0) {
            remainingBytes -= partBytes;
            if (delivery == Delivery.DISCARDED) {
                input.skipBytes(partBytes);
            } else {
                responses.onLongValuePart(input.readRetainedSlice(partBytes));
            }
        }
        if (remainingBytes == CRLF_BYTES && input.readableBytes() >= CRLF_BYTES) {
            requireCrlf(input, input.readerIndex());
            input.skipBytes(CRLF_BYTES);
            remainingBytes = NO_VALUE;
            responses.onResponse(AttemptOutcome.OK, cacheStatus, loadReport);
        } else if (valueBytes <= MetaCodec.MAX_BUFFERED_VALUE_BYTES) {
            responses.onPartialResponse();
        }
    }

    private static void requireCrlf(ByteBuf input, int at) throws MetaCodec.SyntaxException {
        if (input.getByte(at) != '\r' || input.getByte(at + 1) != '\n') {
            throw new MetaCodec.SyntaxException("no line end after the value");
        }
    }

    // ---- other events

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        connection.onWritabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        connection.onClosed();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
