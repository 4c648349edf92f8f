package cacheproxy.bench;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.EffectLedger;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The whole hop: reads of a value straight from a stand-in node, and the same through the daemon, in turn and in one
 * process, so that the ratio holds on a noisy machine. Node, daemon and client have a thread each; what the daemon's
 * thread uses and allocates is read from the JVM.
 */
final class HopBench {
    private static final int VALUE = 100;
    private static final int KEYS = 1000;

    private final PrintWriter out;
    private final double seconds;

    HopBench(PrintWriter out, double seconds) {
        this.out = out;
        this.seconds = seconds;
    }

    record Run(double perSecond, double cpuUs, double bytes, Histogram nanos) {
        /** A percentile of the answers' times in microseconds. */
        double micros(double percentile) {
            return nanos.getValueAtPercentile(percentile) / 1e3;
        }

        double meanMicros() {
            return nanos.getMean() / 1e3;
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the run is over; nothing waits for these threads
    void run(int rounds) throws Exception {
        MultiThreadIoEventLoopGroup nodes = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        try (FakeCacheServer node = FakeCacheServer.start(nodes.next(), new EffectLedger());
                Daemon daemon = Daemon.start(DaemonConfigReader.parse("bench", file(node)), 1)) {
            for (int i = 0; i < KEYS; i++) {
                node.store("key/" + i, new byte[VALUE]);
            }
            long thread = daemon.threadId();
            out.printf(
                    "%-10s %8s %10s %9s %9s %9s %9s %9s%n",
                    "in hand", "round", "straight/s", "daemon/s", "ratio", "cpu us", "bytes/req", "p99 us");
            for (int inHand : new int[] {1, 128}) {
                load(clients.next(), node.address(), inHand, -1, 1); // warm
                load(clients.next(), daemon.address("main"), inHand, thread, Math.max(2, seconds));
                for (int r = 1; r <= rounds; r++) {
                    Run straight = load(clients.next(), node.address(), inHand, -1, seconds);
                    Run through = load(clients.next(), daemon.address("main"), inHand, thread, seconds);
                    out.printf(
                            "%-10d %8d %10.0f %9.0f %9.3f %9.2f %9.0f %9d%n",
                            inHand,
                            r,
                            straight.perSecond,
                            through.perSecond,
                            through.perSecond / straight.perSecond,
                            through.cpuUs,
                            through.bytes,
                            Math.round(through.micros(99)));
                    out.flush();
                }
            }
        } finally {
            nodes.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static String file(FakeCacheServer node) {
        return "[[class]]\nname = \"page\"\neffect = \"safe\"\naim_ms = 250\ndeadline_ms = 1000\n"
                + "[[listen]]\nname = \"main\"\naddress = \"127.0.0.1:0\"\nopen = true\nclass = \"page\"\n"
                + "[[pool]]\nname = \"a\"\nnodes = \"plain\"\n[[pool.server]]\nname = \"n-1\"\ndial = \"" + node.dial()
                + "\"\n[[route]]\nname = \"all\"\npools = [\"a\"]\n";
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a connection that fails shows as a reader that never ends
    static Run load(EventLoop loop, SocketAddress to, int inHand, long thread, double seconds) throws Exception {
        int connections = Math.min(inHand, 16);
        CountDownLatch ended = new CountDownLatch(connections);
        Histogram nanos = new Histogram(60_000_000_000L, 3);
        // A node says whether it was a hit, an open listener does not.
        int answer = (thread < 0 ? "VA 100 h1\r\n" : "VA 100\r\n").length() + VALUE + 2;
        Reader[] readers = new Reader[connections];
        long end = System.nanoTime() + (long) (seconds * 1e9);
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long cpu = thread < 0 ? 0 : threads.getThreadCpuTime(thread);
        long bytes = thread < 0 ? 0 : threads.getThreadAllocatedBytes(thread);
        long start = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            Reader reader = new Reader(inHand / connections, i, answer, end, nanos, ended);
            readers[i] = reader;
            new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(reader);
                        }
                    })
                    .connect(to);
        }
        ended.await();
        long wall = System.nanoTime() - start;
        cpu = thread < 0 ? 0 : threads.getThreadCpuTime(thread) - cpu;
        bytes = thread < 0 ? 0 : threads.getThreadAllocatedBytes(thread) - bytes;
        long count = 0;
        for (Reader r : readers) {
            count += r.count;
        }
        return new Run(count * 1e9 / wall, cpu / 1e3 / count, (double) bytes / count, nanos);
    }

    /** Asks and counts; answers have a fixed length, so that the client costs little beside what is measured. */
    private static final class Reader extends ChannelInboundHandlerAdapter {
        private final int depth;
        private final long end;
        private final Histogram nanos;
        private final CountDownLatch ended;
        private final byte[][] asks = new byte[KEYS][];
        private final long[] sentAt;
        private final int answer;
        private int next;
        private int missing;
        private int head;
        private int tail;
        private long count;
        private boolean over;

        Reader(int depth, int offset, int answer, long end, Histogram nanos, CountDownLatch ended) {
            this.depth = depth;
            this.answer = answer;
            this.end = end;
            this.nanos = nanos;
            this.ended = ended;
            sentAt = new long[depth];
            next = offset * 37 % KEYS;
            for (int i = 0; i < KEYS; i++) {
                asks[i] = ("mg key/" + i + " v\r\n").getBytes(StandardCharsets.ISO_8859_1);
            }
            missing = answer;
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ByteBuf buf = ctx.alloc().buffer();
            for (int i = 0; i < depth; i++) {
                ask(buf, System.nanoTime());
            }
            ctx.writeAndFlush(buf);
        }

        private void ask(ByteBuf buf, long now) {
            buf.writeBytes(asks[next]);
            next = (next + 1) % KEYS;
            sentAt[tail] = now;
            tail = (tail + 1) % depth;
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            int n = in.readableBytes();
            in.release();
            long now = System.nanoTime();
            if (over) {
                return;
            }
            if (now > end) { // what is out is not counted
                over = true;
                ended.countDown();
                ctx.close();
                return;
            }
            ByteBuf buf = null;
            for (missing -= n; missing <= 0; missing += answer) {
                count++;
                nanos.recordValue(now - sentAt[head]);
                head = (head + 1) % depth;
                buf = buf != null ? buf : ctx.alloc().buffer();
                ask(buf, now);
            }
            if (buf != null) {
                ctx.writeAndFlush(buf);
            }
        }
    }
}
