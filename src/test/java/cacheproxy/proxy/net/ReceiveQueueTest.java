package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests looks at a connection on an event loop that is held, so that it polls nothing meanwhile. */
@Timeout(20)
class ReceiveQueueTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final CompletableFuture<Channel> accepted = new CompletableFuture<>();
    private final ReceiveQueue queue = new ReceiveQueue();
    private Socket client;

    @BeforeEach
    void connect() throws Exception {
        Channel server = new ServerBootstrap()
                .group(group)
                .channel(Transport.BEST.server())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.complete(channel);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        client = new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) server.localAddress()).getPort());
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private <T> T onHeldLoop(Callable<T> task) throws Exception {
        accepted.get();
        return group.submit(task).get();
    }

    @Test
    void returnsWhatHasArrivedAndLeavesTheOutputOpen() throws Exception {
        String received = onHeldLoop(() -> {
            client.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
            ByteBuf found = queue.readOrShutDownOutput(accepted.get());
            try {
                return found.toString(StandardCharsets.US_ASCII);
            } finally {
                found.release();
            }
        });
        assertThat(received).isEqualTo("mn\r\n");
        assertThat(onHeldLoop(() -> queue.unreadBytes(accepted.get(), received.length())))
                .isZero();
    }

    @Test
    void shutsDownTheOutputIfNothingHasArrived() throws Exception {
        assertThat(onHeldLoop(() -> queue.readOrShutDownOutput(accepted.get()))).isNull();
        assertThat(client.getInputStream().read()).isEqualTo(-1);
    }

    /** Guards against an exception in the place of the end where the client has reset the connection meanwhile. */
    @Test
    void toleratesConnectionThatTheClientHasReset() throws Exception {
        ByteBuf found = onHeldLoop(() -> {
            client.setSoLinger(true, 0);
            client.close();
            queue.read(accepted.get()); // takes the error that the reset has left
            return queue.readOrShutDownOutput(accepted.get());
        });
        assertThat(found).isNull();
    }
}
