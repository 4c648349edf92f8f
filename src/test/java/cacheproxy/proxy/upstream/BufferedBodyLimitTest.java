package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.request.MetaCodec;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which connection may buffer a long body, on an event loop that the test runs. */
class BufferedBodyLimitTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> granted = new ArrayList<>();

    private BufferedBodyLimit limit(long maxValueBytes) {
        return new BufferedBodyLimit(channel.eventLoop(), maxValueBytes);
    }

    private void acquire(BufferedBodyLimit limit, String body) {
        limit.acquire(() -> granted.add(body));
    }

    @Test
    void grantsAtOnceUpToTheBoundAndThenInOrder() {
        BufferedBodyLimit limit = limit(2L * MetaCodec.MAX_VALUE_BYTES);
        acquire(limit, "first");
        acquire(limit, "second");
        assertThat(granted).containsExactly("first", "second");
        acquire(limit, "third");
        acquire(limit, "fourth");
        limit.release();
        assertThat(granted).as("not from within the release").hasSize(2);
        channel.runPendingTasks();
        assertThat(granted).containsExactly("first", "second", "third");
        limit.release();
        limit.release();
        channel.runPendingTasks();
        assertThat(granted).containsExactly("first", "second", "third", "fourth");
    }

    @Test
    void aReleasedSlotIsNotAcquiredTwice() {
        BufferedBodyLimit limit = limit(0);
        acquire(limit, "first");
        acquire(limit, "second");
        limit.release();
        acquire(limit, "third");
        channel.runPendingTasks();
        assertThat(granted).as("the slot belongs to the body that waited").containsExactly("first", "second");
        limit.release();
        channel.runPendingTasks();
        assertThat(granted).containsExactly("first", "second", "third");
        limit.release();
        acquire(limit, "fourth");
        assertThat(granted).containsExactly("first", "second", "third", "fourth");
    }
}
