package cacheproxy.proxy.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerDomainSocketChannel;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;

/**
 * The kinds of channel in use: Linux's epoll by Netty's native library, which costs less for each event, or the JDK's
 * own where that can't be loaded.
 */
public record Transport(
        IoHandlerFactory io,
        Class<? extends ServerChannel> server,
        Class<? extends Channel> socket,
        Class<? extends Channel> datagram,
        Class<? extends ServerChannel> localServer,
        Class<? extends Channel> localSocket) {

    /** The most that one read takes off a socket: each connection that is being read needs as much. */
    private static final int MAX_READ = 16 << 10;

    public static final Transport BEST = Epoll.isAvailable()
            ? new Transport(
                    EpollIoHandler.newFactory(),
                    EpollServerSocketChannel.class,
                    EpollSocketChannel.class,
                    EpollDatagramChannel.class,
                    EpollServerDomainSocketChannel.class,
                    EpollDomainSocketChannel.class)
            : new Transport(
                    NioIoHandler.newFactory(),
                    NioServerSocketChannel.class,
                    NioSocketChannel.class,
                    NioDatagramChannel.class,
                    NioServerDomainSocketChannel.class,
                    NioDomainSocketChannel.class);

    /** The same kind of I/O with another strategy for its polls. */
    IoHandlerFactory io(SelectStrategyFactory strategies) {
        return server == EpollServerSocketChannel.class
                ? EpollIoHandler.newFactory(0, strategies)
                : NioIoHandler.newFactory(SelectorProvider.provider(), strategies);
    }

    /** How much each connection reads at once, by what has come before. Each connection needs one of its own. */
    public static RecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(256, 2048, MAX_READ);
    }

    public SocketAddress local(Path path) {
        return socket == EpollSocketChannel.class
                ? new DomainSocketAddress(path.toFile())
                : UnixDomainSocketAddress.of(path);
    }
}
