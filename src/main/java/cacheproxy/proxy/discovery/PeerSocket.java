package cacheproxy.proxy.discovery;

import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.process.PlatformConfig;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.unix.UnixChannelOption;
import java.net.InetSocketAddress;

/** Messages between the proxies of a tier: datagrams that come late or not at all. */
public final class PeerSocket {
    private static final int MAX_MESSAGE = 256;

    private final PlatformConfig config;
    private final Receiver receiver;
    private Channel channel;

    /** What takes the messages of peers. */
    public interface Receiver {
        void heard(int peer, byte[] message);
    }

    public PeerSocket(EventLoop loop, PlatformConfig config, Receiver receiver) {
        this.config = config;
        this.receiver = receiver;
        if (config.settings().peerMessagesAllowed() && config.peerListen() != null) {
            // What is sent before the socket is bound is lost without a word, so this waits for it.
            Bootstrap bootstrap = new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.datagram())
                    .handler(new Handler());
            if (config.control() != null && Transport.BEST.datagram() == EpollDatagramChannel.class) {
                bootstrap.option(UnixChannelOption.SO_REUSEPORT, true); // the next version has the same address
            }
            channel = bootstrap.bind(config.peerListen()).awaitUninterruptibly().channel();
        }
    }

    public InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /** Sends to the proxy of this number, or to all of the tier if it is negative. */
    @SuppressWarnings("FutureReturnValueIgnored")
    public // a failed write closes the channel, and the close is handled
    void send(int peer, byte[] message) {
        InetSocketAddress to = peer < 0
                ? config.peersAll()
                : peer < config.peers().size() ? config.peers().get(peer) : null;
        if (channel == null || to == null || message.length > MAX_MESSAGE) {
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
    }

    /** What does not come from a peer, or is longer than the protocol has it, is dropped. */
    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int peer = config.peers().indexOf(packet.sender());
            if (peer >= 0 && packet.content().readableBytes() <= MAX_MESSAGE) {
                receiver.heard(peer, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that did not arrive says nothing of the next.
        }
    }
}
