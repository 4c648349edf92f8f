package cacheproxy.proxy.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that an event that throws takes no other event along. */
class PolicyEventsTest {
    private final EventLoopContext loopContext = new EventLoopContext(
            new EmbeddedChannel().eventLoop(),
            new PollClock(),
            Transport.BEST.socket(),
            new EventLoopLimits(1 << 20, 10, false));
    private final PolicyEvents events = new PolicyEvents(loopContext);
    private final List<String> handled = new ArrayList<>();

    /** Guards against events, and so requests, that are dropped because the one before them has thrown an error. */
    @Test
    void eventsBehindOneThatThrowsAreHandled() {
        events.run(() -> {
            events.run(() -> handled.add("queued"));
            throw new StackOverflowError();
        });
        events.run(() -> handled.add("later"));
        assertThat(handled).containsExactly("queued", "later");
        assertThat(loopContext.faults().count()).isEqualTo(1);
    }
}
