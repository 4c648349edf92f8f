package cacheproxy.proxy.client;

import cacheproxy.proxy.net.ListeningSocket;
import cacheproxy.proxy.net.TurnScheduler;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.Channel;
import java.io.IOException;

/**
 * Closes a listening channel that no longer belongs to an event loop, once no connection waits in its accept queue: the
 * operating system resets those that do. They are accepted in slices before; what they have sent is served.
 */
final class ListenerClose implements TurnScheduler.Work {
    private static final int ACCEPTS_PER_SLICE = 4;
    /** How long connections that keep coming, or can't be accepted, delay the close. */
    private static final double MAX_DELAY_MS = 150;
    /** Pause after a failed accept, as for lack of descriptors. */
    private static final double RETRY_MS = 5;

    private final EventLoopContext loopContext;
    private final Channel channel;
    private double closesByMs;

    ListenerClose(EventLoopContext loopContext, Channel channel) {
        this.loopContext = loopContext;
        this.channel = channel;
    }

    /** Begins to accept what waits; the channel closes in this turn of the event loop or a later one. */
    void start() {
        closesByMs = loopContext.nowMs() + MAX_DELAY_MS;
        loopContext.turns().scheduleBacklog(this);
    }

    @Override
    public boolean runSlice() {
        boolean late = loopContext.nowMs() >= closesByMs;
        int accepts = late ? ListenerBootstrap.BACKLOG : ACCEPTS_PER_SLICE;
        try {
            for (int i = 0; i < accepts; i++) {
                Channel accepted = ListeningSocket.acceptOrClose(channel);
                if (accepted == null) {
                    close();
                    return false;
                }
                channel.pipeline().fireChannelRead(accepted);
            }
        } catch (IOException e) {
            if (!late) {
                loopContext.after(RETRY_MS, () -> loopContext.turns().scheduleBacklog(this));
                return false;
            }
        }
        if (late) {
            close();
        }
        return !late;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel is no longer open
    private void close() {
        channel.close();
    }
}
