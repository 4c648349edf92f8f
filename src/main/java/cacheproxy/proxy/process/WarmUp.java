package cacheproxy.proxy.process;

import cacheproxy.lifecycle.WarmUpPlan;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.proxy.client.ClientRegistry;
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.client.MetaProtocol;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.dispatch.Dispatcher;
import cacheproxy.proxy.dispatch.SinglePoolHandler;
import cacheproxy.proxy.net.HandlerInitializer;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

final class WarmUp {
    private final EventLoop loop;
    private final PlatformConfig config;
    private final Path folder;
    private final WarmUpPlan plan;
    private final CountDownLatch done = new CountDownLatch(1);
    private final List<Channel> channels = new ArrayList<>();
    private int answered;
    private int sent;

    private WarmUp(EventLoop loop, PlatformConfig config, Path folder, WarmUpPlan plan) {
        this.loop = loop;
        this.config = config;
        this.folder = folder;
        this.plan = plan;
    }

    /** Warms up; a failure to do so is only told, as the proxy can do without. @return requests answered */
    static int run(EventLoop loop, PlatformConfig config, WarmUpPlan plan) {
        return run(loop, config, plan, Path.of(System.getenv().getOrDefault("TMPDIR", "/tmp")), a -> a);
    }

    /** The same in this folder, where a client dials what is made of the proxy's address. */
    static int run(
            EventLoop loop, PlatformConfig config, WarmUpPlan plan, Path temporary, UnaryOperator<SocketAddress> dial) {
        try {
            // Named by the clock: the library's way draws a secure random number, for which it loads the security
            // providers.
            Path folder = Files.createDirectory(temporary.resolve("warm" + Long.toHexString(System.nanoTime()) + "-"
                    + ProcessHandle.current().pid()));
            WarmUp warmUp = new WarmUp(loop, config, folder, plan);
            try {
                warmUp.run(dial);
            } finally {
                Files.delete(folder);
            }
            return loop.submit(() -> warmUp.answered).sync().getNow();
        } catch (IOException | RuntimeException e) {
            System.err.println("no warm-up: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private void run(UnaryOperator<SocketAddress> dial) throws InterruptedException, IOException {
        EventLoopContext core =
                new EventLoopContext(loop, new PollClock(), Transport.BEST.localSocket(), config.eventLoopLimits());
        Dispatcher dispatcher = new Dispatcher(core, Dispatcher.Pool.of(config));
        Listener front = new Listener(
                core, new ClientRegistry(core, 16), new SinglePoolHandler(core, dispatcher), MetaProtocol.platform());
        loop.submit(() -> dispatcher.start(EndpointListSource.NONE, null)).sync();
        try {
            SocketAddress node = listen("n", Node::new);
            SocketAddress origin = listen("o", Origin::new);
            SocketAddress proxy = listen("p", front::newUncountedConnection);
            int originKind = config.settings().originKind();
            List<DiscoveryClient.Host> hosts =
                    List.of(host(1, originKind == 0 ? 1 : 0, node), host(2, Math.max(0, originKind), origin));
            loop.submit(() -> dispatcher.listed(EndpointListKind.CACHED, hosts)).sync();
            channels.add(new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.localSocket())
                    .handler(new HandlerInitializer(new Client()))
                    .connect(dial.apply(proxy))
                    .sync()
                    .channel());
            done.await((long) plan.timeLimitMs(), TimeUnit.MILLISECONDS);
        } finally { // also where such sockets are refused, or each start would leave three, a sweep and a folder
            loop.submit(dispatcher::stop).sync();
            for (Channel c : channels) {
                c.close().sync();
            }
            for (String name : new String[] {"n", "o", "p"}) {
                Files.deleteIfExists(folder.resolve(name));
            }
        }
    }

    private SocketAddress listen(String name, Supplier<ChannelHandler> handler) throws InterruptedException {
        SocketAddress address = Transport.BEST.local(folder.resolve(name));
        channels.add(new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.localServer())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handler.get());
                    }
                })
                .bind(address)
                .sync()
                .channel());
        return address;
    }

    private static DiscoveryClient.Host host(int id, int kind, SocketAddress dial) {
        return new DiscoveryClient.Host(new Endpoint(id, 0, kind, 0, EndpointState.READY, 1, 0), dial);
    }

    /**
     * One end of a connection that lasts as long as the warm-up. The other end may go with bytes unread, which resets
     * it: that is no fault, and nothing to tell anyone of.
     */
    abstract static class ResetTolerantDecoder extends ByteToMessageDecoder {
        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Answers reads; one in four is a miss. */
    private static final class Node extends ResetTolerantDecoder {
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line != null) {
                String id = MetaCodec.flag(line, 3, 'O');
                boolean miss = id.endsWith("0");
                ctx.writeAndFlush(MetaCodec.ascii(
                        ctx.alloc(), miss ? "EN O" + id + " h0\r\n" : "VA 5 O" + id + " h1\r\nhello\r\n"));
            }
        }
    }

    private static final class Origin extends ResetTolerantDecoder {
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line != null && line.isEmpty()) {
                ctx.writeAndFlush(MetaCodec.ascii(ctx.alloc(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"));
            }
        }
    }

    private final class Client extends ResetTolerantDecoder {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            for (int i = 0; i < plan.concurrency(); i++) {
                send(ctx);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void send(ChannelHandlerContext ctx) {
            String id = Integer.toString(++sent, 4);
            ctx.writeAndFlush(MetaCodec.ascii(
                    ctx.alloc(),
                    "mg " + Integer.toHexString(0x70000000 + sent * 7919) + " v O" + id + " Pc="
                            + config.settings().classes().get(0).name() + ",d=60000\r\n"));
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line == null || line.startsWith("VA")) {
                return;
            }
            if (++answered == plan.requests()) {
                done.countDown();
            } else if (answered < plan.requests()) {
                send(ctx);
            }
        }
    }
}
