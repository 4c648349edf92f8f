package cacheproxy.bench;

import cacheproxy.proxy.net.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.TimeUnit;

/** An event loop on a thread of its own, which ends soon after {@link #close}. */
final class EventLoopThread implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_S = 1;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());

    /** The event loop. */
    EventLoop loop() {
        return group.next();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the run is over; nothing waits for this thread
    @Override
    public void close() {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
    }
}
