package cacheproxy.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;

/** Writes attempts in the protocol of a server, and reports what the server sends to the {@link UpstreamConnection}. */
interface UpstreamCodec {
    /** Writes an attempt without flushing. The future completes when the last byte has been written. */
    ChannelFuture write(Channel channel, Attempt attempt, SocketAddress server);

    /** Called when a paused value may continue; the codec may hold parts of it. */
    default void resume() {}

    /** Whether the codec holds all of the long value that it is passing on, so that it can't break off any more. */
    default boolean holdsWholeValue() {
        return false;
    }

    /** Called when the connection is being closed: the codec releases its buffers and ignores further input. */
    default void discard() {}
}
