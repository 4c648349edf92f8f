package cacheproxy.bench;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;

/** Opens the connections of load clients. */
final class ClientConnection {
    private ClientConnection() {}

    /** Connects a channel with one handler and without Nagle's delay. */
    static ChannelFuture connect(EventLoop loop, SocketAddress to, ChannelHandler handler) {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.socket())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handler);
                    }
                })
                .connect(to);
    }
}
