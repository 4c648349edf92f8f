package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.NetworkLinks;
import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The way of every datagram between proxies. All know proxy i by one socket of the relay, its face; what comes there
 * goes on to i from the face of whoever sent it, so that both know each other by the configured addresses. One socket a
 * proxy.
 */
final class DatagramRelay implements AutoCloseable {
    private static final int RECEIVED = 1 << 20;
    /** Datagrams that are late on purpose and wait in the relay. */
    static final int MOST_LATE = 100_000;

    private final EventLoop loop;
    private final NetworkLinks links;
    private final SplittableRandom random;
    private final InetSocketAddress[] proxies;
    private final Channel[] faces;
    private final Channel all;
    private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
    private final AtomicLong passed = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong strangers = new AtomicLong();
    private int late;

    /** @param links used on the loop alone */
    DatagramRelay(EventLoop loop, AddressSpace space, int count, NetworkLinks links, long seed)
            throws IOException, InterruptedException {
        this.loop = loop;
        this.links = links;
        random = new SplittableRandom(seed);
        proxies = new InetSocketAddress[count];
        faces = new Channel[count];
        try {
            for (int i = 0; i < count; i++) {
                proxies[i] = space.proxy(i, AddressSpace.PEERS);
                senders.put(proxies[i], i);
                faces[i] = bind(space.face(i, AddressSpace.PEERS), i);
            }
            all = bind(space.all(), -1);
        } catch (Exception e) {
            close();
            throw new IOException("relay: " + e.getMessage(), e);
        }
    }

    private Channel bind(InetSocketAddress to, int face) throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.datagram())
                .option(ChannelOption.SO_RCVBUF, RECEIVED)
                .handler(new Face(face))
                .bind(to)
                .sync()
                .channel();
    }

    /** Datagrams that came through, their bytes, those that faults lost, those that the relay itself dropped. */
    long passed() {
        return passed.get();
    }

    long bytes() {
        return bytes.get();
    }

    long lost() {
        return lost.get();
    }

    long dropped() {
        return dropped.get();
    }

    /** Those from nobody's configured address. */
    long strangers() {
        return strangers.get();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void relay(int from, int to, ByteBuf content) {
        List<NetworkLinks.Delivery> deliveries = links.deliveries(from, to, random);
        if (deliveries.isEmpty()) {
            lost.incrementAndGet();
        }
        for (NetworkLinks.Delivery d : deliveries) {
            ByteBuf copy = Unpooled.copiedBuffer(
                    content); // on the heap: what is late when the run ends is nobody's to release
            if (d.corrupt() && copy.readableBytes() > 0) {
                int at = random.nextInt(copy.readableBytes());
                copy.setByte(at, copy.getByte(at) ^ 1 + random.nextInt(255));
            }
            if (d.delayMs() <= 0) {
                send(from, to, copy);
            } else if (late >= MOST_LATE) {
                dropped.incrementAndGet();
                copy.release();
            } else {
                late++;
                loop.schedule(
                        () -> {
                            late--;
                            send(from, to, copy);
                        },
                        (long) (d.delayMs() * 1e6),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    private void send(int from, int to, ByteBuf content) {
        passed.incrementAndGet();
        bytes.addAndGet(content.readableBytes());
        faces[from].writeAndFlush(new DatagramPacket(content, proxies[to])).addListener(f -> {
            // Nobody listens at a proxy that is down.
            if (!f.isSuccess()
                    && !(f.cause() instanceof PortUnreachableException)
                    && !(f.cause() instanceof java.net.ConnectException)) {
                dropped.incrementAndGet();
            }
        });
    }

    @Override
    public void close() {
        for (Channel c : faces) {
            if (c != null) {
                c.close().syncUninterruptibly();
            }
        }
        if (all != null) {
            all.close().syncUninterruptibly();
        }
    }

    private final class Face extends SimpleChannelInboundHandler<DatagramPacket> {
        /** Negative: of all. */
        private final int of;

        Face(int of) {
            this.of = of;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer from = senders.get(packet.sender());
            if (from == null) {
                strangers.incrementAndGet();
            } else if (of >= 0) {
                relay(from, of, packet.content());
            } else {
                for (int to = 0; to < proxies.length; to++) {
                    if (to != from) {
                        relay(from, to, packet.content());
                    }
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A proxy that is not there; what is lost is counted where it is sent.
        }
    }
}
