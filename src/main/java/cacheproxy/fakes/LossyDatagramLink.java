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
 * A way for datagrams between two peers that loses, doubles and delays them, by a seed. Each peer knows the other by
 * this one's address on its own side.
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
     * @param addressOfA one peer's address
     * @param addressOfB the other's
     * @param lossRate share of datagrams that vanish, 0 to 1, either way
     * @param duplicationRate share that come twice
     * @param maxDelayMs those that pass come up to so much later, so that some overtake others
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

    /** Where a sends what is for b. */
    public InetSocketAddress aliasAddressOfB() {
        return (InetSocketAddress) aliasOfB.localAddress();
    }

    /** Where b sends what is for a. */
    public InetSocketAddress aliasAddressOfA() {
        return (InetSocketAddress) aliasOfA.localAddress();
    }

    /** Datagrams that passed, and those that did not. */
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
            // a peer that is not there
        }
    }
}
