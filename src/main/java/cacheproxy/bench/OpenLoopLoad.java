package cacheproxy.bench;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/**
 * Clients that ask at an even pace whatever comes back, each request on a connection that has none in hand: a slow
 * answer holds up nobody else's. A request that finds no connection free counts as asked and not served.
 */
final class OpenLoopLoad {
    private final EventLoop loop;
    private final IntFunction<String> keys;
    private final double aimMs;
    private final ArrayDeque<Conversation> free = new ArrayDeque<>();
    private final List<Channel> channels = new ArrayList<>();
    /** Times of values, ns. */
    final Histogram nanos = new Histogram(60_000_000_000L, 3);

    int asked;
    int served;
    int inTime;
    int refused;
    int failed;
    int unsent;
    private int open;
    private Future<?> pace;

    OpenLoopLoad(EventLoop loop, double aimMs, IntFunction<String> keys) {
        this.loop = loop;
        this.aimMs = aimMs;
        this.keys = keys;
    }

    OpenLoopLoad connect(SocketAddress to, int connections) throws InterruptedException {
        for (int i = 0; i < connections; i++) {
            Conversation c = new Conversation();
            channels.add(new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(c);
                        }
                    })
                    .connect(to)
                    .sync()
                    .channel());
        }
        return this;
    }

    /** Asks for so long, then waits for what is open, at most as long as {@code lastMs}. */
    OpenLoopLoad run(double perSecond, double seconds, long lastMs) throws Exception {
        long every = Math.round(1e9 / perSecond);
        pace = loop.scheduleAtFixedRate(this::ask, every, every, TimeUnit.NANOSECONDS);
        Thread.sleep(Math.round(seconds * 1000));
        loop.submit(() -> pace.cancel(false)).get();
        for (long until = System.nanoTime() + lastMs * 1_000_000;
                loop.submit(() -> open).get() > 0 && System.nanoTime() < until; ) {
            Thread.sleep(5);
        }
        channels.forEach(c -> c.close().syncUninterruptibly());
        return this;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private void ask() {
        String key = keys.apply(asked++);
        Conversation c = free.poll();
        if (c == null) {
            unsent++;
            return;
        }
        open++;
        c.sentAt = System.nanoTime();
        c.ctx.writeAndFlush(ByteBufUtil.writeAscii(c.ctx.alloc(), "mg " + key + " v\r\n"));
    }

    private final class Conversation extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext ctx;
        private long sentAt;
        private final StringBuilder text = new StringBuilder();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            free.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            text.append(in.toString(java.nio.charset.StandardCharsets.ISO_8859_1));
            in.release();
            int end = text.indexOf("\r\n");
            boolean value = text.length() > 2 && text.charAt(0) == 'V';
            if (end < 0
                    || (value
                            && text.length()
                                    < end
                                            + 4
                                            + Integer.parseInt(
                                                    text.substring(3, end).split(" ", 0)[0]))) {
                return;
            }
            long took = System.nanoTime() - sentAt;
            if (value) {
                served++;
                inTime += took <= aimMs * 1e6 ? 1 : 0;
                nanos.recordValue(took);
            } else if (text.indexOf("SERVER_ERROR busy") == 0) {
                refused++;
            } else {
                failed++;
            }
            text.setLength(0);
            open--;
            free.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            free.remove(this);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
