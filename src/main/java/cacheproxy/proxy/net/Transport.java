package cacheproxy.proxy.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
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
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.UnixChannelOption;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;

/**
 * The channel types of one I/O implementation: epoll by Netty's native library, which uses less CPU time per event, or
 * the JDK's NIO if that library can't be loaded.
 *
 * @param io creates the I/O handlers of event loops that use these channels
 * @param server listening TCP sockets
 * @param socket TCP connections
 * @param datagram UDP sockets
 * @param localServer listening Unix domain sockets
 * @param localSocket connections on Unix domain sockets
 */
public record Transport(
        IoHandlerFactory io,
        Class<? extends ServerChannel> server,
        Class<? extends Channel> socket,
        Class<? extends Channel> datagram,
        Class<? extends ServerChannel> localServer,
        Class<? extends Channel> localSocket) {

    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2048;
    /** Each connection that is being read needs a buffer of up to this size. */
    private static final int MAX_READ_BYTES = 16 << 10;

    /** The preferred implementation of those that this machine supports. */
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

    /** Creates the I/O handlers of the same implementation, with other strategies for their polls. */
    IoHandlerFactory io(SelectStrategyFactory strategies) {
        return server == EpollServerSocketChannel.class
                ? EpollIoHandler.newFactory(0, strategies)
                : NioIoHandler.newFactory(SelectorProvider.provider(), strategies);
    }

    /** Creates an allocator of read buffers for one channel; the buffer size adapts to the previous reads. */
    public static RecvByteBufAllocator newReadBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }

    /** The option that lets several sockets listen at the same address. */
    public ChannelOption<Boolean> reusePort() {
        return server == EpollServerSocketChannel.class
                ? UnixChannelOption.SO_REUSEPORT
                : NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
    }

    /** The address of a Unix domain socket in the form that {@link #localServer} and {@link #localSocket} take. */
    public SocketAddress localAddress(Path path) {
        return socket == EpollSocketChannel.class
                ? new DomainSocketAddress(path.toFile())
                : UnixDomainSocketAddress.of(path);
    }
}
