package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when flushes run, on an event loop that the test runs. */
class FlushBatcherTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> flushed = new ArrayList<>();

    @Test
    void runsFlushesAtOnceUnlessEnabled() {
        FlushBatcher batcher = new FlushBatcher(channel.eventLoop(), false);
        batcher.flushLater(() -> flushed.add("first"));
        assertThat(flushed).containsExactly("first");
    }

    @Test
    void runsFlushesOfATurnTogetherInTheirOrder() {
        FlushBatcher batcher = new FlushBatcher(channel.eventLoop(), true);
        for (int turn = 0; turn < 3; turn++) {
            flushed.clear();
            batcher.flushLater(() -> flushed.add("first"));
            batcher.flushLater(() -> flushed.add("second"));
            assertThat(flushed).as("turn %d", turn).isEmpty();
            channel.runPendingTasks();
            assertThat(flushed).as("turn %d", turn).containsExactly("first", "second");
        }
    }

    @Test
    void runsAFlushThatAFlushCausesAfterTheOthers() {
        FlushBatcher batcher = new FlushBatcher(channel.eventLoop(), true);
        batcher.flushLater(() -> {
            flushed.add("first");
            batcher.flushLater(() -> flushed.add("third"));
        });
        batcher.flushLater(() -> flushed.add("second"));
        channel.runPendingTasks();
        assertThat(flushed).containsExactly("first", "second", "third");
    }
}
