package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.invariant.Invariant;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the last check before a line goes to a client, whatever put text into it. */
class SingleLineTest {
    private final EmbeddedChannel loopChannel = new EmbeddedChannel();
    private final EventLoopContext loopContext = new EventLoopContext(
            loopChannel.eventLoop(), new PollClock(), Transport.BEST.socket(), new EventLoopLimits(1 << 20, 10, false));

    /** Guards against text that ends a line early, so that its rest is taken for the answers to later commands. */
    @Test
    void replacesResponseWithLineEndInItAndCountsIt() {
        ClientConnection connection = new ClientConnection(
                loopContext,
                new FakeConnectionOwner((request, responder) -> {
                    responder.stored("one\r\nHD O2 ctwo");
                    return null;
                }),
                0);
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        channel.writeInbound(Unpooled.copiedBuffer("ms 7f3a 1 O1 Pc=fix,d=9\r\nx\r\n", StandardCharsets.US_ASCII));
        loopChannel.runPendingTasks();
        channel.runPendingTasks();
        channel.flush();
        ByteBuf written = channel.readOutbound();
        assertThat(written.toString(StandardCharsets.US_ASCII)).isEqualTo("SERVER_ERROR failed\r\n");
        written.release();
        assertThat(loopContext.invariants().violationCount(Invariant.SINGLE_LINE))
                .isOne();
        channel.finishAndReleaseAll();
    }
}
