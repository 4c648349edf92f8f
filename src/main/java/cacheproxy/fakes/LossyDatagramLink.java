package cacheproxy.fakes;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards datagrams between two peers, A and B, and drops, duplicates and delays some of them at random, from a seed.
 * Each peer reaches the other at an alias address of this link.
 */
public final class LossyDatagramLink implements AutoCloseable {
    private final EventLoop loop;
    private final SplittableRandom random;
    private final double lossRate;
    private final double duplicationRate;
    private final double maxDelayMs;
    private final Channel aliasOfB;
    private final Channel aliasOfA;
    private final AtomicInteger forwarded = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();

    /**
     * @param addressOfA address of peer A
     * @param addressOfB address of peer B
     * @param lossRate fraction of datagrams that are dropped in either direction, 0 to 1
     * @param duplicationRate fraction of forwarded datagrams that are delivered twice
     * @param maxDelayMs maximum delay of forwarded datagrams in milliseconds; delays are random, so that datagrams are
     *     reordered
     */
    public LossyDatagramLink(
            EventLoop loop,
            InetSocketAddress addressOfA,
            InetSocketAddress addressOfB,
            long seed,
            double lossRate,
            double duplicationRate,
            double maxDelayMs)
            throws InterruptedException {
        this.loop = loop;
        random = new SplittableRandom(seed);
        this.lossRate = lossRate;
        this.duplicationRate = duplicationRate;
        this.maxDelayMs = maxDelayMs;
        aliasOfB = bind(new Forwarder(true, addressOfB));
        aliasOfA = bind(new Forwarder(false, addressOfA));
    }

    private Channel bind(Forwarder forwarder) throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.datagram())
                .handler(forwarder)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    /** Returns the address to which A sends datagrams for B. */
    public InetSocketAddress aliasAddressOfB() {
        return (InetSocketAddress) aliasOfB.localAddress();
    }

    /** Returns the address to which B sends datagrams for A. */
    public InetSocketAddress aliasAddressOfA() {
        return (InetSocketAddress) aliasOfA.localAddress();
    }

    /** Returns the number of datagrams that were forwarded; {@link #dropped()} returns the others. */
    public int forwarded() {
        return forwarded.get();
    }

    public int dropped() {
        return dropped.get();
    }

    @Override
    public void close() {
        aliasOfA.close().syncUninterruptibly();
        aliasOfB.close().syncUninterruptibly();
    }

    private final class Forwarder extends SimpleChannelInboundHandler<DatagramPacket> {
        private final boolean fromA;
        private final InetSocketAddress destination;

        Forwarder(boolean fromA, InetSocketAddress destination) {
            this.fromA = fromA;
            this.destination = destination;
        }

        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (random.nextDouble() < lossRate) {
                dropped.incrementAndGet();
                return;
            }
            forwarded.incrementAndGet();
            for (int copies = random.nextDouble() < duplicationRate ? 2 : 1; copies > 0; copies--) {
                DatagramPacket copy = new DatagramPacket(packet.content().copy(), destination);
                loop.schedule(
                        () -> (fromA ? aliasOfA : aliasOfB).writeAndFlush(copy),
                        (long) (random.nextDouble() * maxDelayMs * 1e6),
                        TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // the peer is not running
        }
    }
}
