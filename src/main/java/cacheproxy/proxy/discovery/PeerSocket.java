package cacheproxy.proxy.discovery;

import cacheproxy.proxy.net.Transport;
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

/**
 * The datagram socket for messages between the proxies of a tier. Messages may be lost, delayed or duplicated; messages
 * from other senders are dropped. Receives on its event loop, sends from any thread.
 */
public final class PeerSocket {
    private static final int MAX_MESSAGE_BYTES = 256;

    private final PeerAddresses addresses;
    private final Receiver receiver;
    private Channel channel;

    /** Receives the messages of the other proxies. */
    public interface Receiver {
        /** Handles a message from the proxy that has this number among the peers. */
        void received(int peer, byte[] message);
    }

    /** Binds the socket if there is an address to listen on; waits until it is bound. */
    public PeerSocket(EventLoop loop, PeerAddresses addresses, Receiver receiver) {
        this.addresses = addresses;
        this.receiver = receiver;
        if (addresses.listen() != null) {
            // A datagram that is written before the socket is bound would be lost without an error.
            Bootstrap bootstrap = new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.datagram())
                    .handler(new Handler());
            if (addresses.shared() && Transport.BEST.datagram() == EpollDatagramChannel.class) {
                bootstrap.option(UnixChannelOption.SO_REUSEPORT, true); // the next version binds the same address
            }
            channel = bootstrap.bind(addresses.listen()).awaitUninterruptibly().channel();
        }
    }

    /** The address that the socket is bound to; null if there is no socket. */
    public InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /**
     * Sends to the proxy with this number, or to all proxies of the tier if the number is negative. Messages of over
     * 256 bytes and messages to unknown peers are dropped.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // a message that could not be sent counts as lost
    public void send(int peer, byte[] message) {
        InetSocketAddress to = peer < 0
                ? addresses.all()
                : peer < addresses.peers().size() ? addresses.peers().get(peer) : null;
        if (channel == null || to == null || message.length > MAX_MESSAGE_BYTES) {
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
    }

    /** Drops datagrams that do not come from a peer, and datagrams that are longer than any message. */
    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int peer = addresses.peers().indexOf(packet.sender());
            if (peer >= 0 && packet.content().readableBytes() <= MAX_MESSAGE_BYTES) {
                receiver.received(peer, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // One datagram that could not be received does not affect the next.
        }
    }
}
