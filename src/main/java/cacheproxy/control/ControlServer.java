package cacheproxy.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;

/**
 * The server of the control address: HTTP/1.1 (RFC 9112) with one request per connection. At most
 * {@link #MAX_CONNECTIONS} are open; further ones wait in the kernel's backlog. Once full, the server closes the oldest
 * connection that has received its response or has had {@link #MIN_REQUEST_TIME_MS} to send its request. So idle
 * connections cannot block new requests, and many concurrent clients do not cut off a request that has just arrived.
 */
public final class ControlServer {
    /** Maximum of open connections. */
    public static final int MAX_CONNECTIONS = 8;
    /** Time from accepting a connection until its request must be complete; after that the response has status 408. */
    public static final int REQUEST_TIMEOUT_MS = 2000;
    /** Time that each connection has for its request even if other clients wait. */
    public static final int MIN_REQUEST_TIME_MS = 25;

    private static final int BACKLOG = 512;
    private static final int MAX_REQUEST_LINE_BYTES = 1024;
    private static final int MAX_HEADER_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 4096;
    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final Class<? extends ServerChannel> channelType;
    private final ControlRequestHandler handler;
    /** Open connections, oldest first. */
    private final ArrayDeque<ControlConnection> connections = new ArrayDeque<>();

    private Channel listener;
    private boolean evictionScheduled;

    /** Creates a server that is not bound yet. Its handler is called on {@code loop}. */
    public ControlServer(EventLoop loop, Class<? extends ServerChannel> channelType, ControlRequestHandler handler) {
        this.loop = loop;
        this.channelType = channelType;
        this.handler = handler;
    }

    /** Binds the address and starts to listen; the future fails if the address is not available. */
    public ChannelFuture bind(SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(channelType)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Stops listening; requests on open connections still get their responses. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing is left to do if closing fails
    public void close() {
        listener.close();
    }

    /** Stops listening and closes all connections. */
    public void closeNow() {
        close();
        new ArrayList<>(connections).forEach(ControlConnection::close);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // addListener returns the future that it is called on
    private void accept(Channel channel) {
        ControlConnection connection = new ControlConnection(loop, channel, handler);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_BODY_BYTES),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        connection);
        connections.add(connection);
        channel.closeFuture().addListener(future -> {
            connections.remove(connection);
            limitConnections();
        });
        limitConnections();
    }

    /** Pauses accepting while the server is full, and schedules the closing of a connection in that case. */
    private void limitConnections() {
        boolean full = connections.size() >= MAX_CONNECTIONS;
        if (listener.isOpen() && listener.config().isAutoRead() == full) {
            listener.config().setAutoRead(!full);
        }
        if (full && !evictionScheduled) {
            scheduleEviction();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the eviction is never cancelled and throws nothing
    private void scheduleEviction() {
        ControlConnection candidate = connections.stream()
                .filter(ControlConnection::isAnswered)
                .findFirst()
                .orElse(connections.peek());
        double remainingMs = candidate.isAnswered()
                ? 0
                : candidate.openedAtMs() + MIN_REQUEST_TIME_MS - System.nanoTime() / NANOS_PER_MS;
        evictionScheduled = true;
        // At least 1 ms, so that data that the candidate has already sent is read first.
        long delayNanos = (long) (Math.max(1, remainingMs) * NANOS_PER_MS);
        loop.schedule(() -> evict(candidate), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void evict(ControlConnection candidate) {
        evictionScheduled = false;
        if (connections.size() >= MAX_CONNECTIONS && connections.contains(candidate)) {
            candidate.close();
        } else {
            limitConnections();
        }
    }
}
