package cacheproxy.proxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;

/** Adds the given handlers, in this order, to the pipeline of one new channel. */
public final class HandlerInitializer extends ChannelInitializer<Channel> {
    private final ChannelHandler[] handlers;

    /** Creates an initializer for a single channel, as the handlers belong to that one. */
    public HandlerInitializer(ChannelHandler... handlers) {
        this.handlers = handlers;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(handlers);
    }
}
