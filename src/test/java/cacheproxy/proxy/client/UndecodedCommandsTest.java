package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests what may happen to a connection on which complete commands have been read and not decoded. */
class UndecodedCommandsTest {
    private static final int MORE_THAN_A_SLICE = 200;
    private static final double LATER_MS = 60_000;

    /** Guards against a connection that makes room for another one with commands that it has read. */
    @Test
    void doesNotEvictConnectionWithCommandsThatWaitForTheirTurn() {
        EmbeddedChannel loopChannel = new EmbeddedChannel();
        EventLoopContext loopContext = new EventLoopContext(
                loopChannel.eventLoop(),
                new PollClock(),
                Transport.BEST.socket(),
                new EventLoopLimits(1 << 20, 10, false));
        ClientConnection connection = new ClientConnection(loopContext, new FakeConnectionOwner(), 0);
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        channel.writeInbound(Unpooled.copiedBuffer("mn\r\n".repeat(MORE_THAN_A_SLICE), StandardCharsets.US_ASCII));
        channel.releaseOutbound();
        assertThat(connection.undecodedBytes()).isPositive();
        assertThat(connection.status().evictionRank(loopContext.nowMs() + LATER_MS))
                .isNegative();
        channel.finishAndReleaseAll();
    }
}
