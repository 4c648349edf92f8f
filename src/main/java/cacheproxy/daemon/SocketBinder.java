package cacheproxy.daemon;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.List;

/** Binds the addresses of subsystems. Must not be used on the event loop. */
public final class SocketBinder {
    private SocketBinder() {}

    /** Describes a failure to bind an address, as an error line of the configuration file. */
    static String describeFailure(DaemonConfig file, String subsystem, InetSocketAddress at, Throwable cause) {
        return file.path() + ":1:1: " + subsystem + " can't be bound to " + Addresses.text(at) + ": "
                + String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
    }

    /** Waits until a channel is bound, or throws the failure as an error of the configuration file. */
    static Channel require(ChannelFuture bound, DaemonConfig file, String subsystem, InetSocketAddress at)
            throws ConfigException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw ConfigException.of(List.of(describeFailure(file, subsystem, at, bound.cause())));
        }
        return bound.channel();
    }

    /** Binds a socket for datagrams of at most {@code maxDatagramBytes}. */
    public static Channel datagrams(
            EventLoopContext core,
            DaemonConfig file,
            String subsystem,
            InetSocketAddress at,
            int maxDatagramBytes,
            ChannelHandler handler)
            throws ConfigException, InterruptedException {
        return require(
                new Bootstrap()
                        .group(core.loop())
                        .channel(Transport.BEST.datagram())
                        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(maxDatagramBytes + 1))
                        .handler(handler)
                        .bind(at),
                file,
                subsystem,
                at);
    }

    /** Returns whether sockets can't be bound to both addresses at the same time. */
    public static boolean conflict(InetSocketAddress one, InetSocketAddress other) {
        return one.equals(other) && one.getPort() != 0;
    }
}
