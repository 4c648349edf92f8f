package cacheproxy.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;

/** Puts the handlers of one new connection in place. */
final class ClientChannelInitializer extends ChannelInitializer<Channel> {
    private final ChannelHandler[] handlers;

    ClientChannelInitializer(ChannelHandler... handlers) {
        this.handlers = handlers;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(handlers);
    }
}
