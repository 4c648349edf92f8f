package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.NetworkLinks;
import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Relays connections from proxies to discovery and cache servers over faulty links. A blocked link keeps connections
 * open without transferring bytes, and delivers the bytes that were sent meanwhile afterwards, as TCP does; a resetting
 * link resets open connections as well as new ones. Buffered bytes are bounded, as each side is read only while the
 * other side is writable. All state belongs to the event loop.
 */
final class TcpRelay implements AutoCloseable {
    private static final int BACKLOG = 256;

    private final EventLoop loop;
    private final NetworkLinks links;
    private final List<Channel> listeners = new ArrayList<>();
    private final Set<RelayedConnection> connections = new HashSet<>();

    /** @param links used on the event loop only */
    TcpRelay(EventLoop loop, NetworkLinks links) {
        this.loop = loop;
        this.links = links;
    }

    /**
     * Listens in place of an endpoint.
     *
     * @param from index of the endpoint that connects
     * @param to index of the endpoint that it connects to
     * @param target the endpoint's address, read for each connection, as it can change
     */
    void listen(InetSocketAddress address, int from, int to, Supplier<InetSocketAddress> target)
            throws InterruptedException {
        listeners.add(new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new RelayedConnection(channel, from, to, target).acceptedSide);
                    }
                })
                .bind(address)
                .sync()
                .channel());
    }

    /** Applies changed link faults to open connections. Must be called on the event loop. */
    void linksChanged() {
        List.copyOf(connections).forEach(RelayedConnection::linksChanged);
    }

    @Override
    public void close() {
        listeners.forEach(listener -> listener.close().syncUninterruptibly());
        loop.submit(() -> List.copyOf(connections).forEach(connection -> connection.close(false)))
                .syncUninterruptibly();
    }

    /** An accepted connection and the connection to its target. */
    private final class RelayedConnection {
        final int from;
        final int to;
        final Side acceptedSide;
        final Side targetSide;

        RelayedConnection(Channel accepted, int from, int to, Supplier<InetSocketAddress> target) {
            this.from = from;
            this.to = to;
            acceptedSide = new Side(this, from, to);
            targetSide = new Side(this, to, from);
            acceptedSide.channel = accepted;
            connections.add(this);
            if (links.resetsConnections(from, to)) {
                close(true);
            } else {
                connect(target.get());
            }
        }

        private void connect(InetSocketAddress target) {
            new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(targetSide)
                    .connect(target)
                    .addListener(connected -> {
                        if (connected.isSuccess()) {
                            acceptedSide.resumeForwarding();
                            targetSide.resumeForwarding();
                        } else {
                            close(true);
                        }
                    });
        }

        boolean isConnected() {
            return acceptedSide.channel != null
                    && targetSide.channel != null
                    && (targetSide.channel.isActive() || targetSide.channelClosed);
        }

        void linksChanged() {
            if (links.resetsConnections(from, to)) {
                close(true);
            } else {
                acceptedSide.resumeForwarding();
                targetSide.resumeForwarding();
            }
        }

        void close(boolean reset) {
            if (connections.remove(this)) {
                acceptedSide.close(reset);
                targetSide.close(reset);
            }
        }
    }

    /** One side of a relayed connection; the bytes that it reads are written to the other side in order. */
    private final class Side extends ChannelInboundHandlerAdapter {
        private final RelayedConnection connection;
        private final int from;
        private final int to;
        /** Buffers that were read while the link was blocked. */
        private final ArrayDeque<ByteBuf> blockedBuffers = new ArrayDeque<>();

        private Channel channel;
        private long lastDeliveryNanos;
        private int delayedBuffers;
        private boolean channelClosed;

        Side(RelayedConnection connection, int from, int to) {
            this.connection = connection;
            this.from = from;
            this.to = to;
        }

        private Side other() {
            return connection.acceptedSide == this ? connection.targetSide : connection.acceptedSide;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        /** Forwards the blocked buffers and reads more, if the link allows it. */
        void resumeForwarding() {
            if (!connection.isConnected() || links.blocksConnections(from, to)) {
                return;
            }
            for (ByteBuf buffer; (buffer = blockedBuffers.poll()) != null; ) {
                forward(buffer);
            }
            if (channelClosed && delayedBuffers == 0) {
                connection.close(false);
            } else if (channel.isActive() && other().channel.isWritable()) {
                channel.read();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf buffer = (ByteBuf) message;
            if (links.blocksConnections(from, to) || !blockedBuffers.isEmpty()) {
                blockedBuffers.add(buffer); // nothing more is read while the link is blocked
            } else {
                forward(buffer);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            resumeForwarding();
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void forward(ByteBuf buffer) {
            long delayNanos = (long) (links.delayMs(from, to) * 1e6);
            long nowNanos = System.nanoTime();
            long deliveryNanos = Math.max(lastDeliveryNanos, nowNanos + delayNanos);
            if (deliveryNanos <= nowNanos) {
                other().channel.writeAndFlush(buffer);
                return;
            }
            lastDeliveryNanos = deliveryNanos;
            delayedBuffers++;
            loop.schedule(() -> deliverDelayed(buffer), deliveryNanos - nowNanos, TimeUnit.NANOSECONDS);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void deliverDelayed(ByteBuf buffer) {
            delayedBuffers--;
            other().channel.writeAndFlush(buffer);
            if (channelClosed && delayedBuffers == 0 && blockedBuffers.isEmpty()) {
                connection.close(false);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (ctx.channel().isWritable() && other().channel != null) {
                other().resumeForwarding();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channelClosed = true;
            if (blockedBuffers.isEmpty() && delayedBuffers == 0 && !links.blocksConnections(from, to)) {
                connection.close(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            connection.close(true);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        void close(boolean reset) {
            blockedBuffers.forEach(ByteBuf::release);
            blockedBuffers.clear();
            if (channel != null) {
                if (reset && channel.isOpen()) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
                channel.close();
            }
        }
    }
}
