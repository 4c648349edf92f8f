package cacheproxy.proxy.upstream;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;

/** Creates the bootstraps of the connections to servers. */
final class UpstreamBootstraps {
    /**
     * Limits how much of a response the kernel buffers while the response is not being read. Once a server has closed
     * its side, Netty reads everything that was received, even if reading is suspended because of a slow client.
     */
    private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

    private final EventLoop loop;
    private final Class<? extends Channel> channelType;

    UpstreamBootstraps(EventLoop loop, Class<? extends Channel> channelType) {
        this.loop = loop;
        this.channelType = channelType;
    }

    /** Creates a bootstrap without a handler and an address. */
    Bootstrap create(double connectTimeoutMs) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(channelType)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeoutMs)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Transport.newReadBufferAllocator());
        if (channelType == Transport.BEST.socket()) {
            bootstrap.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        return bootstrap;
    }
}
