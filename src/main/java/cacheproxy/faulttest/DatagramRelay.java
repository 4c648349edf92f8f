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
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Relays all datagrams between proxies over faulty links. The relay has one socket for each proxy, and peers use its
 * address as the address of that proxy. A datagram that arrives there is forwarded to the proxy from the relay socket
 * of its sender, so that each side sees the configured address of the other. The counters can be read from any thread;
 * all other state belongs to the event loop.
 */
final class DatagramRelay implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;
    /** Limit on the datagrams that wait in the relay because a fault delays them; further ones are dropped. */
    static final int MAX_DELAYED = 100_000;

    private static final int BROADCAST = -1;

    private final EventLoop loop;
    private final NetworkLinks links;
    private final SplittableRandom random;
    private final InetSocketAddress[] proxies;
    private final Channel[] sockets;
    private final Channel broadcastSocket;
    private final Map<InetSocketAddress, Integer> proxyByAddress = new HashMap<>();
    private final AtomicLong forwarded = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong fromUnknownSenders = new AtomicLong();
    private int delayed;

    /** @param links used on the event loop only */
    DatagramRelay(EventLoop loop, AddressSpace space, int count, NetworkLinks links, long seed)
            throws IOException, InterruptedException {
        this.loop = loop;
        this.links = links;
        random = new SplittableRandom(seed);
        proxies = new InetSocketAddress[count];
        sockets = new Channel[count];
        try {
            for (int i = 0; i < count; i++) {
                proxies[i] = space.proxyAddress(i, AddressSpace.PEER_PORT);
                proxyByAddress.put(proxies[i], i);
                sockets[i] = bind(space.relayAddress(i, AddressSpace.PEER_PORT), i);
            }
            broadcastSocket = bind(space.broadcastAddress(), BROADCAST);
        } catch (Exception e) {
            close();
            throw new IOException("relay: can't bind its datagram sockets: " + e.getMessage(), e);
        }
    }

    private Channel bind(InetSocketAddress address, int receiver) throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.datagram())
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .handler(new Receiver(receiver))
                .bind(address)
                .sync()
                .channel();
    }

    /** Datagrams that were forwarded. */
    long forwarded() {
        return forwarded.get();
    }

    /** Bytes of the datagrams that were forwarded. */
    long bytes() {
        return bytes.get();
    }

    /** Datagrams that faults lost. */
    long lost() {
        return lost.get();
    }

    /** Datagrams that the relay itself dropped, without a fault that loses them. */
    long dropped() {
        return dropped.get();
    }

    /** Datagrams from addresses that belong to no proxy; they are not forwarded. */
    long fromUnknownSenders() {
        return fromUnknownSenders.get();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void relay(int from, int to, ByteBuf content) {
        List<NetworkLinks.Delivery> deliveries = links.deliveries(from, to, random);
        if (deliveries.isEmpty()) {
            lost.incrementAndGet();
        }
        for (NetworkLinks.Delivery delivery : deliveries) {
            // A heap buffer, as buffers that are still delayed at the end of the run are never released.
            ByteBuf copy = Unpooled.copiedBuffer(content);
            if (delivery.corrupt() && copy.readableBytes() > 0) {
                changeOneByte(copy);
            }
            if (delivery.delayMs() <= 0) {
                send(from, to, copy);
            } else if (delayed >= MAX_DELAYED) {
                dropped.incrementAndGet();
                copy.release();
            } else {
                delayed++;
                loop.schedule(
                        () -> {
                            delayed--;
                            send(from, to, copy);
                        },
                        (long) (delivery.delayMs() * 1e6),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    private void changeOneByte(ByteBuf content) {
        int index = random.nextInt(content.readableBytes());
        content.setByte(index, content.getByte(index) ^ 1 + random.nextInt(255));
    }

    private void send(int from, int to, ByteBuf content) {
        forwarded.incrementAndGet();
        bytes.addAndGet(content.readableBytes());
        sockets[from].writeAndFlush(new DatagramPacket(content, proxies[to])).addListener(sent -> {
            if (!sent.isSuccess() && !isReceiverDown(sent.cause())) {
                dropped.incrementAndGet();
            }
        });
    }

    private static boolean isReceiverDown(Throwable cause) {
        return cause instanceof PortUnreachableException || cause instanceof ConnectException;
    }

    @Override
    public void close() {
        for (Channel socket : sockets) {
            if (socket != null) {
                socket.close().syncUninterruptibly();
            }
        }
        if (broadcastSocket != null) {
            broadcastSocket.close().syncUninterruptibly();
        }
    }

    /** Handles a relay socket that represents one proxy, or all of them for broadcasts. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int receiver;

        Receiver(int receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer from = proxyByAddress.get(packet.sender());
            if (from == null) {
                fromUnknownSenders.incrementAndGet();
            } else if (receiver != BROADCAST) {
                relay(from, receiver, packet.content());
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
            // A proxy is down. Failed sends are handled where the datagram is sent.
        }
    }
}
