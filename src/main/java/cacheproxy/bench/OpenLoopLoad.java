package cacheproxy.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/**
 * Clients that send reads at a constant rate, each on a connection with none in flight: a slow response delays no other
 * request. A request that finds no free connection counts as sent and not served.
 */
final class OpenLoopLoad {
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final long DRAIN_POLL_MS = 5;
    private static final String LINE_END = "\r\n";
    private static final int VALUE_LENGTH_AT = "VA ".length();

    private final EventLoop loop;
    private final IntFunction<String> keys;
    private final double aimMs;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final List<Channel> channels = new ArrayList<>();
    private final Histogram latencyNanos = new Histogram(MAX_LATENCY_NANOS, 3);
    private int requests;
    private int served;
    private int servedInTime;
    private int rejected;
    private int failed;
    private int inFlight;
    private Future<?> schedule;

    /**
     * Creates clients without connections.
     *
     * @param aimMs within which a response is in time
     * @param keys the key of each request, by its number from 0 on
     */
    OpenLoopLoad(EventLoop loop, double aimMs, IntFunction<String> keys) {
        this.loop = loop;
        this.aimMs = aimMs;
        this.keys = keys;
    }

    /** Opens so many connections and waits for them. */
    OpenLoopLoad connect(SocketAddress to, int connections) throws InterruptedException {
        for (int i = 0; i < connections; i++) {
            channels.add(
                    ClientConnection.connect(loop, to, new Connection()).sync().channel());
        }
        return this;
    }

    /** Sends for so long, then waits for the responses in flight, at most as long as {@code drainMs}. */
    OpenLoopLoad run(double perSecond, double seconds, long drainMs) throws Exception {
        long periodNanos = Math.round(1e9 / perSecond);
        schedule = loop.scheduleAtFixedRate(this::send, periodNanos, periodNanos, TimeUnit.NANOSECONDS);
        Thread.sleep(Math.round(seconds * 1000));
        loop.submit(() -> schedule.cancel(false)).get();
        long drainEnd = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(drainMs);
        while (loop.submit(() -> inFlight).get() > 0 && System.nanoTime() < drainEnd) {
            Thread.sleep(DRAIN_POLL_MS);
        }
        channels.forEach(channel -> channel.close().syncUninterruptibly());
        return this;
    }

    /** Requests that got a response of any kind. */
    int answered() {
        return served + rejected + failed;
    }

    /** Requests without a response, whether sent or not. */
    int unanswered() {
        return requests - answered();
    }

    /** Requests that were served in time, of all; 0 to 1. */
    double inTimeRatio() {
        return servedInTime / (double) requests;
    }

    /** All requests, also those that found no free connection. */
    int requests() {
        return requests;
    }

    /** A percentile of the latency of served requests in nanoseconds. */
    long percentileNanos(double percentile) {
        return latencyNanos.getValueAtPercentile(percentile);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private void send() {
        String key = keys.apply(requests++);
        Connection connection = idle.poll();
        if (connection == null) {
            return;
        }
        inFlight++;
        connection.sentAtNanos = System.nanoTime();
        ChannelHandlerContext context = connection.context;
        context.writeAndFlush(ByteBufUtil.writeAscii(context.alloc(), "mg " + key + " v\r\n"));
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final StringBuilder received = new StringBuilder();
        private ChannelHandlerContext context;
        private long sentAtNanos;

        @Override
        public void channelActive(ChannelHandlerContext activeContext) {
            context = activeContext;
            idle.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ignored, Object message) {
            ByteBuf buffer = (ByteBuf) message;
            received.append(buffer.toString(StandardCharsets.ISO_8859_1));
            buffer.release();
            if (isComplete()) {
                count(System.nanoTime() - sentAtNanos);
                received.setLength(0);
                inFlight--;
                idle.add(this);
            }
        }

        private boolean isValue() {
            return received.length() >= VALUE_LENGTH_AT && received.charAt(0) == 'V';
        }

        private boolean isComplete() {
            int lineEnd = received.indexOf(LINE_END);
            if (lineEnd < 0 || !isValue()) {
                return lineEnd >= 0;
            }
            String length = received.substring(VALUE_LENGTH_AT, lineEnd).split(" ", 0)[0];
            return received.length() >= lineEnd + 2 * LINE_END.length() + Integer.parseInt(length);
        }

        private void count(long tookNanos) {
            if (isValue()) {
                served++;
                servedInTime += tookNanos <= aimMs * 1e6 ? 1 : 0;
                latencyNanos.recordValue(tookNanos);
            } else if (received.indexOf("SERVER_ERROR busy") == 0) {
                rejected++;
            } else {
                failed++;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ignored) {
            idle.remove(this);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
            failedContext.close();
        }
    }
}
