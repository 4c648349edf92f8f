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
    private final double lost;
    private final double doubled;
    private final double lateMs;
    private final Channel faceOfB;
    private final Channel faceOfA;
    private final AtomicInteger passed = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();

    /**
     * @param a one peer's address
     * @param b the other's
     * @param lost share of datagrams that vanish, 0 to 1, either way
     * @param doubled share that come twice
     * @param lateMs those that pass come up to so much later, so that some overtake others
     */
    public LossyDatagramLink(
            EventLoop loop,
            InetSocketAddress a,
            InetSocketAddress b,
            long seed,
            double lost,
            double doubled,
            double lateMs)
            throws InterruptedException {
        this.loop = loop;
        random = new SplittableRandom(seed);
        this.lost = lost;
        this.doubled = doubled;
        this.lateMs = lateMs;
        faceOfB = bind(new Side(true, b));
        faceOfA = bind(new Side(false, a));
    }

    private Channel bind(Side side) throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.datagram())
                .handler(side)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    /** Where a sends what is for b. */
    public InetSocketAddress towardsB() {
        return (InetSocketAddress) faceOfB.localAddress();
    }

    /** Where b sends what is for a. */
    public InetSocketAddress towardsA() {
        return (InetSocketAddress) faceOfA.localAddress();
    }

    /** Datagrams that passed, and those that did not. */
    public int passed() {
        return passed.get();
    }

    public int dropped() {
        return dropped.get();
    }

    @Override
    public void close() {
        faceOfA.close().syncUninterruptibly();
        faceOfB.close().syncUninterruptibly();
    }

    private final class Side extends SimpleChannelInboundHandler<DatagramPacket> {
        private final boolean fromA;
        private final InetSocketAddress to;

        Side(boolean fromA, InetSocketAddress to) {
            this.fromA = fromA;
            this.to = to;
        }

        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (random.nextDouble() < lost) {
                dropped.incrementAndGet();
                return;
            }
            passed.incrementAndGet();
            for (int n = random.nextDouble() < doubled ? 2 : 1; n > 0; n--) {
                DatagramPacket p = new DatagramPacket(packet.content().copy(), to);
                loop.schedule(
                        () -> (fromA ? faceOfA : faceOfB).writeAndFlush(p),
                        (long) (random.nextDouble() * lateMs * 1e6),
                        TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // a peer that is not there
        }
    }
}
