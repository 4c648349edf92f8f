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
 * The way of connections from proxies to discovery and nodes. A cut link leaves them open and silent and gives back
 * what came meanwhile once it is whole again, as TCP does; a resetting one ends them and refuses new ones by a reset.
 * Bytes that wait are bounded as each side is read only while the other takes.
 */
final class TcpRelay implements AutoCloseable {
    private final EventLoop loop;
    private final NetworkLinks links;
    private final List<Channel> servers = new ArrayList<>();
    private final Set<Pipe> pipes = new HashSet<>();

    /** @param links used on the loop alone */
    TcpRelay(EventLoop loop, NetworkLinks links) {
        this.loop = loop;
        this.links = links;
    }

    /**
     * Stands for an endpoint towards another.
     *
     * @param from index of who connects
     * @param to index of who is connected to
     * @param target asked at each connection: a server may have moved
     */
    void face(InetSocketAddress at, int from, int to, Supplier<InetSocketAddress> target) throws InterruptedException {
        servers.add(new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_BACKLOG, 256)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Pipe(channel, from, to, target).near);
                    }
                })
                .bind(at)
                .sync()
                .channel());
    }

    /** The faults have changed; on the loop. */
    void changed() {
        List.copyOf(pipes).forEach(Pipe::changed);
    }

    @Override
    public void close() {
        servers.forEach(s -> s.close().syncUninterruptibly());
        loop.submit(() -> List.copyOf(pipes).forEach(p -> p.end(false))).syncUninterruptibly();
    }

    /** A connection and the one behind it. */
    private final class Pipe {
        final int from;
        final int to;
        final End near;
        final End far;

        Pipe(Channel channel, int from, int to, Supplier<InetSocketAddress> target) {
            this.from = from;
            this.to = to;
            near = new End(this, from, to);
            far = new End(this, to, from);
            near.channel = channel;
            pipes.add(this);
            if (links.resetsConnections(from, to)) {
                end(true);
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(far)
                    .connect(target.get())
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            near.go();
                            far.go();
                        } else {
                            end(true);
                        }
                    });
        }

        void changed() {
            if (links.resetsConnections(from, to)) {
                end(true);
            } else {
                near.go();
                far.go();
            }
        }

        void end(boolean reset) {
            if (pipes.remove(this)) {
                near.end(reset);
                far.end(reset);
            }
        }
    }

    /** One side; what it reads goes to the other in order. */
    private final class End extends ChannelInboundHandlerAdapter {
        private final Pipe pipe;
        private final int from;
        private final int to;
        private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
        private Channel channel;
        private long lastAt;
        private int onTheWay;
        private boolean ended;

        End(Pipe pipe, int from, int to) {
            this.pipe = pipe;
            this.from = from;
            this.to = to;
        }

        private boolean connected() {
            return pipe.near.channel != null
                    && pipe.far.channel != null
                    && (pipe.far.channel.isActive() || pipe.far.ended);
        }

        private End other() {
            return pipe.near == this ? pipe.far : pipe.near;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        /** Reads on if it may; gives on what was held. */
        void go() {
            if (!connected() || links.blocksConnections(from, to)) {
                return;
            }
            for (ByteBuf b; (b = held.poll()) != null; ) {
                pass(b);
            }
            if (ended && onTheWay == 0) {
                pipe.end(false);
            } else if (channel.isActive() && other().channel.isWritable()) {
                channel.read();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf b = (ByteBuf) message;
            if (links.blocksConnections(from, to) || !held.isEmpty()) {
                held.add(b); // no more is read until the link is whole
            } else {
                pass(b);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            go();
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void pass(ByteBuf b) {
            double delay = links.delayMs(from, to);
            long now = System.nanoTime();
            long at = Math.max(lastAt, now + (long) (delay * 1e6));
            if (at <= now) {
                other().channel.writeAndFlush(b);
                return;
            }
            lastAt = at;
            onTheWay++;
            loop.schedule(
                    () -> {
                        onTheWay--;
                        other().channel.writeAndFlush(b);
                        if (ended && onTheWay == 0 && held.isEmpty()) {
                            pipe.end(false);
                        }
                    },
                    at - now,
                    TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (ctx.channel().isWritable() && other().channel != null) {
                other().go();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended = true;
            if (held.isEmpty() && onTheWay == 0 && !links.blocksConnections(from, to)) {
                pipe.end(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            pipe.end(true);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        void end(boolean reset) {
            held.forEach(ByteBuf::release);
            held.clear();
            if (channel != null) {
                if (reset && channel.isOpen()) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
                channel.close();
            }
        }
    }
}
