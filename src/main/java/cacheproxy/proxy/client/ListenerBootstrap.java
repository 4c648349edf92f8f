package cacheproxy.proxy.client;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.EpollServerSocketChannel;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** Opens one listening socket and configures the sockets that it accepts. */
final class ListenerBootstrap {
    static final int BACKLOG = 512;
    /** Connections that are accepted before others have their turn. */
    private static final int MAX_ACCEPTS_PER_TURN = 16;

    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(64 << 10, 128 << 10);

    private final ServerBootstrap bootstrap;

    /**
     * Creates a bootstrap.
     *
     * @param loop the event loop of the listening channel and of the channels that it accepts
     * @param listeningHandler the handler of the listening channel
     * @param onAccepted called with each accepted channel during its registration, to add its handlers
     */
    ListenerBootstrap(EventLoop loop, ChannelHandler listeningHandler, Consumer<Channel> onAccepted) {
        bootstrap = new ServerBootstrap()
                .group(loop)
                .handler(listeningHandler)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Transport.newReadBufferAllocator())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        onAccepted.accept(accepted);
                    }
                });
    }

    /** Binds the address; with {@code shared}, other processes may listen at the same address. */
    ChannelFuture bind(SocketAddress address, boolean shared) {
        bootstrap
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true);
        if (shared) {
            bootstrap.option(Transport.BEST.reusePort(), true);
        }
        return bootstrap.bind(address);
    }

    /** Uses a socket that is already listening. */
    ChannelFuture adopt(int descriptor) {
        return bootstrap
                .channelFactory(() -> new EpollServerSocketChannel(descriptor))
                .register();
    }
}
