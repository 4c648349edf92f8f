package cacheproxy.proxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;

/** Puts the handlers of one new connection in place. */
public final class HandlerInitializer extends ChannelInitializer<Channel> {
    private final ChannelHandler[] handlers;

    public HandlerInitializer(ChannelHandler... handlers) {
        this.handlers = handlers;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(handlers);
    }
}
