package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what the operating system tells of a connection that is not read. */
@Timeout(30)
class SocketStateTest {
    private static final double WAIT_MS = 200;

    @Test
    void tellsForHowLongBytesHaveBeenUnread() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        Channel listening = new ServerBootstrap()
                .group(group)
                .channel(Transport.BEST.server())
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelActive(ChannelHandlerContext context) {
                        accepted.complete(context.channel());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        int port = ((InetSocketAddress) listening.localAddress()).getPort();
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            Channel channel = accepted.get();
            long sent = System.nanoTime();
            client.getOutputStream().write('m');
            while (SocketState.lastReceivedAgoMs(channel) < WAIT_MS) {
                Thread.onSpinWait(); // the test's time limit ends the wait
            }
            assertThat((System.nanoTime() - sent) / 1e6).isBetween(WAIT_MS / 2, 10 * WAIT_MS);
            assertThat(SocketState.isEndedByPeer(channel)).isFalse();
            client.close();
            while (!SocketState.isEndedByPeer(channel)) {
                Thread.onSpinWait();
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    @Test
    void tellsNothingOfOtherChannels() {
        EmbeddedChannel channel = new EmbeddedChannel();
        assertThat(SocketState.lastReceivedAgoMs(channel)).isZero();
        assertThat(SocketState.isEndedByPeer(channel)).isFalse();
        channel.finishAndReleaseAll();
    }
}
