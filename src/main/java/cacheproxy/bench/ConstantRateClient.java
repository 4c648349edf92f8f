package cacheproxy.bench;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a constant rate on one connection, however slow the responses are, so that a daemon's load is the
 * same in each window. It has at most as many requests in flight as a connection may, and skips those beyond.
 */
final class ConstantRateClient extends ChannelInboundHandlerAdapter {
    private static final int MAX_IN_FLIGHT = 31;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;

    private final long periodMicros;
    private final Histogram latencyNanos = new Histogram(MAX_LATENCY_NANOS, 3);
    private final long[] sentAtNanos = new long[MAX_IN_FLIGHT + 1];
    private int nextKey;
    private int inFlight;
    private long sent;
    private long answered;
    private long skipped;
    /** Whether the line that is being received is a value, not the first of a response. */
    private boolean receivesValue;
    /** Whether the response that is being received has a value behind its first line. */
    private boolean hasValue;

    private boolean atLineStart = true;
    private Future<?> schedule;
    private boolean over;

    /** Creates a client that sends a request each {@code periodMicros}. */
    ConstantRateClient(long periodMicros) {
        this.periodMicros = periodMicros;
    }

    /**
     * What became of a client's requests.
     *
     * @param skipped not sent, as too many were in flight
     */
    record Count(long sent, long answered, long skipped, Histogram latencyNanos) {
        /** A percentile of the latency in microseconds. */
        double percentileMicros(double percentile) {
            return latencyNanos.getValueAtPercentile(percentile) / 1e3;
        }
    }

    /** Connects and begins to send; {@link #stop} ends it. */
    Channel start(EventLoop loop, SocketAddress to) throws InterruptedException {
        return ClientConnection.connect(loop, to, this).sync().channel();
    }

    /** Sends no more, waits for the responses in flight and closes. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    Count stop(Channel channel) throws Exception {
        channel.eventLoop()
                .submit(() -> {
                    over = true;
                    schedule.cancel(false);
                    if (inFlight == 0) {
                        channel.close();
                    }
                })
                .get();
        channel.closeFuture().sync();
        return new Count(sent, answered, skipped, latencyNanos);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        schedule =
                ctx.executor().scheduleAtFixedRate(() -> send(ctx), periodMicros, periodMicros, TimeUnit.MICROSECONDS);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private void send(ChannelHandlerContext ctx) {
        if (inFlight >= MAX_IN_FLIGHT) {
            skipped++;
            return;
        }
        inFlight++;
        sentAtNanos[(int) (sent++ % sentAtNanos.length)] = System.nanoTime();
        String key = SaturatingLoad.key(nextKey++ % SaturatingLoad.KEYS);
        byte[] request = ("mg " + key + " v\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ctx.writeAndFlush(ctx.alloc().buffer(request.length).writeBytes(request));
    }

    /** Counts responses by their lines: the benches' values hold no end of line, and are a line by themselves. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf received = (ByteBuf) message;
        while (received.isReadable()) {
            int lineEnd = received.indexOf(received.readerIndex(), received.writerIndex(), (byte) '\n');
            if (!receivesValue && atLineStart) {
                hasValue = received.getByte(received.readerIndex()) == 'V';
            }
            atLineStart = lineEnd >= 0;
            received.readerIndex(lineEnd < 0 ? received.writerIndex() : lineEnd + 1);
            if (lineEnd >= 0) {
                onLineEnd();
            }
        }
        received.release();
        if (over && inFlight == 0) {
            ctx.close();
        }
    }

    private void onLineEnd() {
        if (!receivesValue && hasValue) {
            receivesValue = true;
            return;
        }
        receivesValue = false;
        inFlight--;
        latencyNanos.recordValue(System.nanoTime() - sentAtNanos[(int) (answered++ % sentAtNanos.length)]);
    }
}
