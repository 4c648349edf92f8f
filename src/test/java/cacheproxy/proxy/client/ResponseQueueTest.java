package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that responses are written in the order of the requests, regardless of the order in which they become ready.
 */
class ResponseQueueTest {
    private final EventLoopContext loopContext = new EventLoopContext(
            new EmbeddedChannel().eventLoop(),
            new PollClock(),
            Transport.BEST.socket(),
            new EventLoopLimits(1 << 20, 10, false));
    private final ClientConnection connection = new ClientConnection(loopContext, new FakeConnectionOwner(), 0);
    private final EmbeddedChannel channel = new EmbeddedChannel(connection);
    private final ChannelHandlerContext context = channel.pipeline().context(connection);
    private final ResponseQueue queue = new ResponseQueue();
    private final ConnectionCloser closer = new ConnectionCloser(loopContext, queue);
    private final List<PendingResponse> responses = new ArrayList<>();

    @BeforeEach
    void addThreeResponses() {
        addResponses(3);
    }

    private void addResponses(int count) {
        for (int i = 0; i < count; i++) {
            PendingResponse response = new PendingResponse(connection, MetaProtocol.platform(), "", null);
            responses.add(response);
            queue.add(response);
        }
    }

    private boolean write() {
        boolean wrote = queue.writeReady(context, closer);
        context.flush();
        return wrote;
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part; (part = channel.readOutbound()) != null; ) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return text.toString();
    }

    @Test
    void aResponseWaitsForThoseBeforeIt() {
        responses.get(1).respond("second\r\n");
        assertThat(write()).isFalse();
        assertThat(queue.size()).isEqualTo(3);
        responses.get(0).respond("first\r\n");
        assertThat(write()).isTrue();
        assertThat(written()).isEqualTo("first\r\nsecond\r\n");
        assertThat(queue.size()).isEqualTo(1);
        assertThat(queue.hasUnanswered()).isTrue();
        responses.get(2).respond("third\r\n");
        assertThat(queue.hasUnanswered()).isFalse();
        assertThat(write()).isTrue();
        assertThat(written()).isEqualTo("third\r\n");
        assertThat(queue.isEmpty()).isTrue();
        assertThat(write()).isFalse();
    }

    @Test
    void nothingIsWrittenAfterTheProxysSideHasEnded() {
        responses.forEach(response -> response.respond("late\r\n"));
        closer.closed(context, 0);
        assertThat(write()).isFalse();
        assertThat(written()).isEmpty();
        queue.close(loopContext);
    }

    @Test
    void aCloseReleasesWhatWasNotWritten() {
        responses.get(1).respond("second\r\n");
        queue.close(loopContext);
        assertThat(queue.isEmpty()).isTrue();
        assertThat(written()).isEmpty();
    }

    @Test
    void anyOrderOfResponsesIsWrittenInTheOrderOfRequests() {
        queue.close(loopContext);
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            responses.clear();
            addResponses(1 + random.nextInt(32));
            StringBuilder expected = new StringBuilder();
            List<Integer> order = new ArrayList<>();
            for (int i = 0; i < responses.size(); i++) {
                expected.append(i).append("\r\n");
                order.add(i);
            }
            Collections.shuffle(order, random);
            for (int index : order) {
                responses.get(index).respond(index + "\r\n");
                if (random.nextBoolean()) {
                    write();
                }
            }
            write();
            assertThat(written()).as("seed %d", seed).isEqualTo(expected.toString());
            assertThat(queue.isEmpty()).isTrue();
        }
    }
}
