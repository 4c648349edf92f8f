package cacheproxy.bench;

import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.FakeCacheServer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;

/**
 * Clients that read without a pause: a constant number of requests is in flight, spread over at most 16 connections on
 * one event loop. Values have {@link #VALUE_BYTES}, and their keys are {@link #key} of the numbers below {@link #KEYS}.
 */
final class SaturatingLoad {
    /** Length of each value in bytes. */
    static final int VALUE_BYTES = 100;
    /** Number of keys that are read in turn. */
    static final int KEYS = 1000;

    private static final int MAX_CONNECTIONS = 16;
    private static final int KEY_STRIDE_OF_CONNECTIONS = 37;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;

    private SaturatingLoad() {}

    /**
     * Where requests are sent.
     *
     * @param threadId thread whose CPU time and garbage are counted; negative for none
     * @param statusLine first line of the response to each read
     */
    record Target(SocketAddress address, long threadId, String statusLine) {
        /** A fake server; its status line says that the read was a hit. */
        static Target of(FakeCacheServer server) {
            return new Target(server.address(), -1, "VA " + VALUE_BYTES + " h1\r\n");
        }

        /** An open listener of a daemon. */
        static Target of(Daemon daemon, String listener) {
            return new Target(daemon.address(listener), daemon.threadId(), "VA " + VALUE_BYTES + "\r\n");
        }

        private int responseBytes() {
            return statusLine.length() + VALUE_BYTES + "\r\n".length();
        }

        private long cpuNanos() {
            return threadId < 0 ? 0 : ThreadCounters.cpuNanos(threadId);
        }

        private long allocatedBytes() {
            return threadId < 0 ? 0 : ThreadCounters.allocatedBytes(threadId);
        }
    }

    /**
     * The result of a run.
     *
     * @param perSecond responses a second
     * @param cpuMicros CPU time of the target's thread a response
     * @param garbageBytes allocated by the target's thread a response
     * @param latencyNanos times of the responses
     */
    record Result(double perSecond, double cpuMicros, double garbageBytes, Histogram latencyNanos) {
        /** A percentile of the latency in microseconds. */
        double percentileMicros(double percentile) {
            return latencyNanos.getValueAtPercentile(percentile) / 1e3;
        }

        /** The mean latency in microseconds. */
        double meanMicros() {
            return latencyNanos.getMean() / 1e3;
        }
    }

    /** Stores the values that the clients read. */
    static void storeValues(FakeCacheServer server) {
        for (int i = 0; i < KEYS; i++) {
            server.store(key(i), new byte[VALUE_BYTES]);
        }
    }

    /** The key of a number. */
    static String key(int number) {
        return "key/" + number;
    }

    /** Keeps so many requests in flight for so long; responses that come later are not counted. */
    @SuppressWarnings("FutureReturnValueIgnored") // a connection that fails shows as a reader that never ends
    static Result run(EventLoop loop, Target target, int inFlight, double seconds) throws InterruptedException {
        int connections = Math.min(inFlight, MAX_CONNECTIONS);
        CountDownLatch ended = new CountDownLatch(connections);
        Histogram latencyNanos = new Histogram(MAX_LATENCY_NANOS, 3);
        Reader[] readers = new Reader[connections];
        long endNanos = System.nanoTime() + (long) (seconds * 1e9);
        long cpuBefore = target.cpuNanos();
        long allocatedBefore = target.allocatedBytes();
        long startNanos = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            readers[i] = new Reader(
                    inFlight / connections,
                    i * KEY_STRIDE_OF_CONNECTIONS % KEYS,
                    target.responseBytes(),
                    endNanos,
                    latencyNanos,
                    ended);
            ClientConnection.connect(loop, target.address, readers[i]);
        }
        ended.await();
        long elapsedNanos = System.nanoTime() - startNanos;
        long cpuNanos = target.cpuNanos() - cpuBefore;
        long allocated = target.allocatedBytes() - allocatedBefore;
        long count = 0;
        for (Reader reader : readers) {
            count += reader.count;
        }
        return new Result(count * 1e9 / elapsedNanos, cpuNanos / 1e3 / count, (double) allocated / count, latencyNanos);
    }

    /** One connection; responses have a fixed length, so that the client costs little beside what is measured. */
    private static final class Reader extends ChannelInboundHandlerAdapter {
        private final int inFlight;
        private final long endNanos;
        private final Histogram latencyNanos;
        private final CountDownLatch ended;
        private final byte[][] requests = new byte[KEYS][];
        private final long[] sentAtNanos;
        private final int responseBytes;
        private int nextKey;
        private int missingBytes;
        private int oldest;
        private int newest;
        private long count;
        private boolean over;

        Reader(
                int inFlight,
                int firstKey,
                int responseBytes,
                long endNanos,
                Histogram latencyNanos,
                CountDownLatch ended) {
            this.inFlight = inFlight;
            this.responseBytes = responseBytes;
            this.endNanos = endNanos;
            this.latencyNanos = latencyNanos;
            this.ended = ended;
            sentAtNanos = new long[inFlight];
            nextKey = firstKey;
            for (int i = 0; i < KEYS; i++) {
                requests[i] = ("mg " + key(i) + " v\r\n").getBytes(StandardCharsets.ISO_8859_1);
            }
            missingBytes = responseBytes;
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ByteBuf buffer = ctx.alloc().buffer();
            for (int i = 0; i < inFlight; i++) {
                writeRequest(buffer, System.nanoTime());
            }
            ctx.writeAndFlush(buffer);
        }

        private void writeRequest(ByteBuf buffer, long nowNanos) {
            buffer.writeBytes(requests[nextKey]);
            nextKey = (nextKey + 1) % KEYS;
            sentAtNanos[newest] = nowNanos;
            newest = (newest + 1) % inFlight;
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf received = (ByteBuf) message;
            int bytes = received.readableBytes();
            received.release();
            long nowNanos = System.nanoTime();
            if (over) {
                return;
            }
            if (nowNanos > endNanos) {
                over = true;
                ended.countDown();
                ctx.close();
                return;
            }
            ByteBuf buffer = null;
            for (missingBytes -= bytes; missingBytes <= 0; missingBytes += responseBytes) {
                count++;
                latencyNanos.recordValue(nowNanos - sentAtNanos[oldest]);
                oldest = (oldest + 1) % inFlight;
                buffer = buffer != null ? buffer : ctx.alloc().buffer();
                writeRequest(buffer, nowNanos);
            }
            if (buffer != null) {
                ctx.writeAndFlush(buffer);
            }
        }
    }
}
