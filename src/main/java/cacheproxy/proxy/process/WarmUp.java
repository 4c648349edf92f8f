package cacheproxy.proxy.process;

import cacheproxy.lifecycle.WarmUpPlan;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.proxy.client.ClientRegistry;
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.client.MetaProtocol;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.discovery.ListedServer;
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

/**
 * Sends requests through the code of a proxy before it accepts clients, so that this code is loaded and compiled. A
 * client, a cache server and an origin run in this process, on the proxy's event loop, connected by Unix sockets in a
 * temporary folder.
 */
final class WarmUp {
    private static final int MAX_CONNECTIONS = 16;
    /** How long the proxy may take to end the connection at the end. */
    private static final long MAX_CLOSE_MS = 100;

    private static final int CACHE_SERVER_ID = 1;
    private static final int ORIGIN_ID = 2;

    private final EventLoop loop;
    private final PlatformConfig config;
    private final Path folder;
    private final WarmUpPlan plan;
    private final CountDownLatch done = new CountDownLatch(1);
    private final List<Channel> channels = new ArrayList<>();
    private final List<Path> socketPaths = new ArrayList<>();
    /** The number of requests that have a response; used on the event loop. */
    private int responses;

    private int sent;

    private WarmUp(EventLoop loop, PlatformConfig config, Path folder, WarmUpPlan plan) {
        this.loop = loop;
        this.config = config;
        this.folder = folder;
        this.plan = plan;
    }

    /**
     * Warms up. A failure is only reported, as the proxy can run without a warm-up.
     *
     * @return the number of requests that got a response
     */
    static int run(EventLoop loop, PlatformConfig config, WarmUpPlan plan) {
        return run(loop, config, plan, Proxy.sharedFolder(), UnaryOperator.identity());
    }

    /**
     * Warms up with sockets in this folder.
     *
     * @param toConnectAddress converts the proxy's address into the address that the client connects to
     */
    static int run(
            EventLoop loop,
            PlatformConfig config,
            WarmUpPlan plan,
            Path temporaryFolder,
            UnaryOperator<SocketAddress> toConnectAddress) {
        try {
            Path folder = Files.createDirectory(temporaryFolder.resolve(uniqueName()));
            WarmUp warmUp = new WarmUp(loop, config, folder, plan);
            try {
                warmUp.run(toConnectAddress);
            } finally {
                Files.delete(folder);
            }
            return loop.submit(() -> warmUp.responses).sync().getNow();
        } catch (IOException | RuntimeException e) {
            System.err.println("no warm-up: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /**
     * Derives a name from the clock, because the JDK's temporary names use secure random numbers and load the security
     * providers.
     */
    private static String uniqueName() {
        return "warm" + Long.toHexString(System.nanoTime()) + "-"
                + ProcessHandle.current().pid();
    }

    private void run(UnaryOperator<SocketAddress> toConnectAddress) throws InterruptedException, IOException {
        EventLoopContext loopContext =
                new EventLoopContext(loop, new PollClock(), Transport.BEST.localSocket(), config.eventLoopLimits());
        Dispatcher dispatcher = new Dispatcher(loopContext, PlatformPool.options(config));
        Listener listener = new Listener(
                loopContext,
                new ClientRegistry(loopContext, MAX_CONNECTIONS),
                new SinglePoolHandler(loopContext, dispatcher),
                MetaProtocol.platform());
        loop.submit(() -> dispatcher.start(EndpointListSource.NONE)).sync();
        try {
            sendRequests(dispatcher, listener, toConnectAddress);
        } finally { // also if sockets are refused; otherwise each start would leave sockets, a timer and a folder
            loop.submit(dispatcher::stop).sync();
            for (Channel channel : channels) {
                channel.close().sync();
            }
            for (Path path : socketPaths) {
                Files.deleteIfExists(path);
            }
        }
    }

    private void sendRequests(Dispatcher dispatcher, Listener listener, UnaryOperator<SocketAddress> toConnectAddress)
            throws InterruptedException {
        SocketAddress cacheServer = listen("n", CacheServer::new);
        SocketAddress origin = listen("o", Origin::new);
        SocketAddress proxy = listen("p", listener::newConnection);
        int originKind = config.settings().originKind();
        int cacheServerKind = originKind == 0 ? 1 : 0;
        List<ListedServer> listedServers = List.of(
                listedServer(CACHE_SERVER_ID, cacheServerKind, cacheServer),
                listedServer(ORIGIN_ID, Math.max(0, originKind), origin));
        loop.submit(() -> dispatcher.endpointListReceived(EndpointListKind.CACHED, listedServers))
                .sync();
        Channel client = new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.localSocket())
                .handler(new HandlerInitializer(new Client()))
                .connect(toConnectAddress.apply(proxy))
                .sync()
                .channel();
        channels.add(client);
        done.await((long) plan.timeLimitMs(), TimeUnit.MILLISECONDS);
        loop.submit(() -> listener.closeIdle(1)).sync(); // so that the end of a connection is loaded, too
        client.closeFuture().await(MAX_CLOSE_MS);
    }

    private SocketAddress listen(String name, Supplier<ChannelHandler> handler) throws InterruptedException {
        Path path = folder.resolve(name);
        socketPaths.add(path);
        SocketAddress address = Transport.BEST.localAddress(path);
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

    private static ListedServer listedServer(int id, int kind, SocketAddress address) {
        return new ListedServer(new Endpoint(id, 0, kind, 0, EndpointState.READY, 1, 0), address);
    }

    /**
     * One end of a connection of the warm-up. The other end may be closed with unread bytes, which resets the
     * connection; that is not reported as an error.
     */
    abstract static class ResetTolerantDecoder extends ByteToMessageDecoder {
        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A cache server that misses a quarter of the keys. */
    private static final class CacheServer extends ResetTolerantDecoder {
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output) throws Exception {
            String line = MetaCodec.readLine(input);
            if (line == null) {
                return;
            }
            String id = MetaCodec.flagArgument(line, 3, 'O');
            boolean miss = id.endsWith("0"); // ids are numbers in base 4
            String response = miss ? "EN O" + id + " h0\r\n" : "VA 5 O" + id + " h1\r\nhello\r\n";
            ctx.writeAndFlush(MetaCodec.ascii(ctx.alloc(), response));
        }
    }

    /** An origin that has every key. */
    private static final class Origin extends ResetTolerantDecoder {
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output) throws Exception {
            String line = MetaCodec.readLine(input);
            if (line != null && line.isEmpty()) { // the end of the request's head
                ctx.writeAndFlush(MetaCodec.ascii(ctx.alloc(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"));
            }
        }
    }

    /** A client that keeps the plan's number of requests in flight until all have responses. */
    private final class Client extends ResetTolerantDecoder {
        private static final int KEY_BASE = 0x70000000;
        private static final int KEY_STEP = 7919;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            for (int i = 0; i < plan.concurrency(); i++) {
                send(ctx);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void send(ChannelHandlerContext ctx) {
            sent++;
            String id = Integer.toString(sent, 4);
            String key = Integer.toHexString(KEY_BASE + sent * KEY_STEP);
            String serviceClass = config.settings().classes().get(0).name();
            ctx.writeAndFlush(
                    MetaCodec.ascii(ctx.alloc(), "mg " + key + " v O" + id + " Pc=" + serviceClass + ",d=60000\r\n"));
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output) throws Exception {
            String line = MetaCodec.readLine(input);
            if (line == null || line.startsWith("VA")) { // the value's line follows
                return;
            }
            responses++;
            if (responses == plan.requests()) {
                done.countDown();
            } else if (responses < plan.requests()) {
                send(ctx);
            }
        }
    }
}
