package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a connection reads while it ends, on a channel whose system takes bytes only when the test says so. */
class ClientConnectionEndTest {
    private final EmbeddedChannel loopChannel = new EmbeddedChannel();
    private final EventLoopContext loopContext = new EventLoopContext(
            loopChannel.eventLoop(), new PollClock(), Transport.BEST.socket(), new EventLoopLimits(1 << 20, 10, false));
    private final FakeConnectionOwner owner = new FakeConnectionOwner();
    private final ClientConnection connection = new ClientConnection(loopContext, owner, 0);
    private final SystemBuffer system = new SystemBuffer();
    private final HalfClosableChannel channel = new HalfClosableChannel(system, connection);

    /** The operating system's buffer, which is full until the test empties it. */
    private static final class SystemBuffer extends ChannelOutboundHandlerAdapter {
        private record Write(Object message, ChannelPromise promise) {}

        private final ArrayDeque<Write> waiting = new ArrayDeque<>();
        private ChannelHandlerContext context;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            waiting.add(new Write(message, promise));
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the connection observes its own promise
        void takeAll() {
            for (Write write; (write = waiting.poll()) != null; ) {
                context.writeAndFlush(write.message, write.promise);
            }
        }
    }

    @AfterEach
    void releaseBuffers() {
        channel.finishAndReleaseAll();
    }

    /** Guards against commands that are read, and then dropped, while a slow client still gets its last response. */
    @Test
    void readsNothingUntilTheBytesBeforeACutValueHaveBeenSent() {
        channel.writeInbound(Unpooled.copiedBuffer("mn\r\n", StandardCharsets.US_ASCII));
        channel.setWritable(false);
        connection.pauseReading();
        connection.abortResponse();
        channel.setWritable(true);
        assertThat(channel.isOutputShutdown()).isFalse();
        assertThat(channel.config().isAutoRead()).isFalse();
        system.takeAll();
        channel.runPendingTasks();
        assertThat(channel.isOutputShutdown()).isTrue();
        assertThat(channel.config().isAutoRead())
                .as("to see the client close its side")
                .isTrue();
    }

    /** Guards against a connection that takes no more commands while a slow client still gets its last response. */
    @Test
    void answersCommandsThatComeBeforeTheLastResponseHasBeenSent() {
        HalfClosableChannel slow = new HalfClosableChannel(new ClientConnection(loopContext, owner, 0));
        ClientConnection slowConnection = slow.pipeline().get(ClientConnection.class);
        slow.setSystemFull(true);
        slow.writeInbound(Unpooled.copiedBuffer("mn\r\n", StandardCharsets.US_ASCII));
        owner.closeWhenIdle();
        slowConnection.end().schedule();
        runTasks(slow);
        assertThat(slow.isOutputShutdown()).isFalse();
        slow.writeInbound(Unpooled.copiedBuffer("mn\r\n", StandardCharsets.US_ASCII));
        runTasks(slow);
        slow.setSystemFull(false);
        slow.flush();
        runTasks(slow);
        assertThat(slow.outboundMessages().stream()
                        .map(message -> ((ByteBuf) message).toString(StandardCharsets.US_ASCII)))
                .filteredOn(text -> !text.isEmpty())
                .containsExactly("MN\r\n", "MN\r\n");
        assertThat(slow.isOutputShutdown()).isTrue();
        slow.finishAndReleaseAll();
    }

    private void runTasks(HalfClosableChannel tested) {
        loopChannel.runPendingTasks();
        tested.runPendingTasks();
    }
}
