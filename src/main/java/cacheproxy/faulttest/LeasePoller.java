package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.TargetSelector;
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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Asks each proxy at its control address whether it holds a duty, as those who act under it would, one call of each at
 * a time.
 */
final class LeasePoller {
    private static final long PATIENCE_MS = 60_000;

    private final EventLoop loop;
    private final AddressSpace space;
    private final History history;
    private final FencedWriter acts;
    private final Map<String, String> holders = new ConcurrentHashMap<>();
    private Future<?> ticks;

    private LeasePoller(EventLoop loop, AddressSpace space, History history, FencedWriter acts) {
        this.acts = acts;
        this.loop = loop;
        this.space = space;
        this.history = history;
    }

    static LeasePoller start(
            EventLoop loop,
            AddressSpace space,
            History history,
            int proxies,
            List<String> duties,
            double everyMs,
            long seed) {
        LeasePoller polls =
                new LeasePoller(loop, space, history, new FencedWriter(loop, history, proxies, duties.size(), seed));
        boolean[][] out = new boolean[proxies][duties.size()];
        polls.ticks = loop.scheduleAtFixedRate(
                () -> {
                    for (int p = 0; p < proxies; p++) {
                        for (int d = 0; d < duties.size(); d++) {
                            if (!out[p][d]) {
                                out[p][d] = true;
                                int proxy = p;
                                int duty = d;
                                polls.ask(proxy, duty, duties.get(duty), () -> out[proxy][duty] = false);
                            }
                        }
                    }
                },
                (long) everyMs,
                (long) everyMs,
                TimeUnit.MILLISECONDS);
        return polls;
    }

    /** Who said last that it holds a duty; null: nobody has. From any thread. */
    String holder(String duty) {
        return holders.get(duty);
    }

    void stop() {
        ticks.cancel(false);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void ask(int proxy, int number, String duty, Runnable over) {
        InetSocketAddress to = space.proxy(proxy, AddressSpace.CONTROL);
        new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.socket())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Call(proxy, number, duty));
                    }
                })
                .connect(to)
                .addListener(f -> {
                    Channel channel = ((io.netty.channel.ChannelFuture) f).channel();
                    if (!f.isSuccess()) {
                        over.run();
                        return;
                    }
                    channel.closeFuture().addListener(g -> over.run());
                    loop.schedule(() -> channel.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
                });
    }

    private final class Call extends ChannelInboundHandlerAdapter {
        private final int proxy;
        private final int number;
        private final String duty;
        private final StringBuilder text = new StringBuilder();
        private long sentUs;

        Call(int proxy, int number, String duty) {
            this.proxy = proxy;
            this.number = number;
            this.duty = duty;
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sentUs = history.now();
            ctx.writeAndFlush(
                    ByteBufUtil.writeAscii(ctx.alloc(), "GET /duties/" + duty + " HTTP/1.1\r\nHost: rig\r\n\r\n"));
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            text.append(in.toString(StandardCharsets.ISO_8859_1));
            in.release();
            int body = text.indexOf("\r\n\r\n");
            if (body < 0 || text.indexOf("\n", body + 4) < 0) {
                return;
            }
            boolean yes = text.indexOf("HTTP/1.1 200") == 0;
            long epoch = yes ? Long.parseLong(text.substring(body + 4).strip()) : 0;
            history.add(
                    history.now() - sentUs,
                    TargetSelector.proxyName(proxy),
                    Event.LEASE_POLLED,
                    duty,
                    yes ? "yes" : "no",
                    (double) epoch);
            if (yes) {
                holders.put(duty, TargetSelector.proxyName(proxy));
                acts.may(proxy, number, duty, epoch);
            }
            ctx.close();
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
