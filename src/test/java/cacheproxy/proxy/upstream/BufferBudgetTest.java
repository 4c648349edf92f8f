package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryLimits;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which values may be buffered, on an event loop that the test runs. */
class BufferBudgetTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> granted = new ArrayList<>();

    private BufferBudget budget(long maxBytes) {
        MemoryPurpose purpose = MemoryPurpose.HELD_VALUE;
        return new BufferBudget(
                new MemoryAccount(channel.eventLoop(), MemoryLimits.ofOnly(purpose, maxBytes)), purpose);
    }

    private void acquire(BufferBudget budget, String body) {
        budget.acquire(MetaCodec.MAX_VALUE_BYTES, () -> granted.add(body));
    }

    @Test
    void grantsAtOnceUpToTheBoundAndThenInOrder() {
        BufferBudget budget = budget(2L * MetaCodec.MAX_VALUE_BYTES);
        acquire(budget, "first");
        acquire(budget, "second");
        assertThat(granted).containsExactly("first", "second");
        acquire(budget, "third");
        acquire(budget, "fourth");
        budget.release(MetaCodec.MAX_VALUE_BYTES);
        assertThat(granted).as("not from within the release").hasSize(2);
        channel.runPendingTasks();
        assertThat(granted).containsExactly("first", "second", "third");
        budget.release(MetaCodec.MAX_VALUE_BYTES);
        budget.release(MetaCodec.MAX_VALUE_BYTES);
        channel.runPendingTasks();
        assertThat(granted).containsExactly("first", "second", "third", "fourth");
    }

    @Test
    void aReleasedSlotIsNotAcquiredTwice() {
        BufferBudget budget = budget(MetaCodec.MAX_VALUE_BYTES);
        acquire(budget, "first");
        acquire(budget, "second");
        budget.release(MetaCodec.MAX_VALUE_BYTES);
        acquire(budget, "third");
        channel.runPendingTasks();
        assertThat(granted).as("the slot belongs to the body that waited").containsExactly("first", "second");
        budget.release(MetaCodec.MAX_VALUE_BYTES);
        channel.runPendingTasks();
        assertThat(granted).containsExactly("first", "second", "third");
        budget.release(MetaCodec.MAX_VALUE_BYTES);
        acquire(budget, "fourth");
        assertThat(granted).containsExactly("first", "second", "third", "fourth");
    }

    /** Guards against requests of clients that have left, which would pile up while others keep the memory. */
    @Test
    void aWithdrawnRequestIsForgottenAndLetsTheNextOnesPass() {
        BufferBudget budget = budget(MetaCodec.MAX_VALUE_BYTES);
        budget.acquire(MetaCodec.MAX_VALUE_BYTES - 1, () -> granted.add("first"));
        Runnable tooLong = () -> granted.add("too long");
        budget.acquire(2, tooLong);
        budget.acquire(1, () -> granted.add("short"));
        budget.withdraw(tooLong);
        channel.runPendingTasks();
        assertThat(granted).containsExactly("first", "short");
        assertThat(budget.reservedBytes()).isEqualTo(MetaCodec.MAX_VALUE_BYTES);
        budget.withdraw(tooLong);
        budget.release(MetaCodec.MAX_VALUE_BYTES);
        channel.runPendingTasks();
        assertThat(granted).hasSize(2);
        assertThat(budget.reservedBytes()).isZero();
    }
}
