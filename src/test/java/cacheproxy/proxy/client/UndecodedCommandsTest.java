package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what may happen to a connection on which complete commands have been read and not decoded. */
class UndecodedCommandsTest {
    private static final int MORE_THAN_A_SLICE = 200;
    private static final double LATER_MS = 60_000;

    private final EmbeddedChannel loopChannel = new EmbeddedChannel();
    private final EventLoopContext loopContext = new EventLoopContext(
            loopChannel.eventLoop(), new PollClock(), Transport.BEST.socket(), new EventLoopLimits(1 << 20, 10, false));

    /** Guards against a connection that makes room for another one with commands that it has read. */
    @Test
    void doesNotEvictConnectionWithCommandsThatWaitForTheirTurn() {
        ClientConnection connection = new ClientConnection(loopContext, new FakeConnectionOwner(), 0);
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        channel.writeInbound(Unpooled.copiedBuffer("mn\r\n".repeat(MORE_THAN_A_SLICE), StandardCharsets.US_ASCII));
        channel.releaseOutbound();
        assertThat(connection.undecodedBytes()).isPositive();
        assertThat(connection.status().evictionRank(loopContext.nowMs() + LATER_MS))
                .isNegative();
        channel.finishAndReleaseAll();
    }

    /**
     * Guards against a read that was under way when reading ended, whose commands were dropped: the system hands over
     * what it had read, also the rest of a command, although reading is off by then.
     */
    @Test
    void answersCommandsOfAReadThatWasUnderWayWhenReadingEnded() {
        List<Responder> responders = new ArrayList<>();
        ClientConnection connection = new ClientConnection(
                loopContext,
                new FakeConnectionOwner((request, responder) -> {
                    request.release(loopContext);
                    responders.add(responder);
                    return null;
                }),
                0);
        HalfClosableChannel channel = new HalfClosableChannel(connection);
        read(channel, "mg 7f3a v O1 Pc=text,d=9\r\nmg 7f3b v O2 Pc=te");
        connection.end().endReading();
        read(channel, "xt,d=9\r\nmn\r\nmg 7f");
        assertThat(responders).as("requests that are sent on").hasSize(1);
        responders.get(0).miss();
        runTasks(channel);
        StringBuilder written = new StringBuilder();
        for (ByteBuf part; (part = channel.readOutbound()) != null; part.release()) {
            written.append(part.toString(StandardCharsets.US_ASCII));
        }
        assertThat(written.toString()).startsWith("EN O1\r\nSERVER_ERROR busy\r\nMN\r\n");
        assertThat(channel.isOutputShutdown()).isTrue();
        channel.finishAndReleaseAll();
    }

    private void read(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        runTasks(channel);
    }

    private void runTasks(EmbeddedChannel channel) {
        loopChannel.runPendingTasks();
        channel.runPendingTasks();
        channel.flush();
    }
}
