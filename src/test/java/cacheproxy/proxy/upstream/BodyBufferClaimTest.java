package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryLimits;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a connection's claims under the limit on buffered bodies, one body after another. */
@Timeout(30)
class BodyBufferClaimTest {
    private final EventLoop loop = new DefaultEventLoop();
    private final MemoryAccount account = new MemoryAccount(
            loop, MemoryLimits.ofOnly(MemoryPurpose.UNKNOWN_LENGTH_BODY, 2 * MetaCodec.MAX_VALUE_BYTES));
    private final BufferBudget limit = new BufferBudget(account, MemoryPurpose.UNKNOWN_LENGTH_BODY);
    private final List<Boolean> readable = new ArrayList<>();
    private final BodyBufferClaim claim = new BodyBufferClaim(limit, readable::add, () -> false);

    @AfterEach
    void endLoop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Runs the tasks that releases have scheduled, including tasks that those schedule. */
    private void runScheduled() {
        for (int round = 0; round < 5; round++) {
            loop.submit(() -> {}).syncUninterruptibly();
        }
    }

    /** Returns how many more bodies may be buffered at once, of two in total. */
    private int available() {
        AtomicInteger acquired = new AtomicInteger();
        limit.acquire(MetaCodec.MAX_VALUE_BYTES, acquired::incrementAndGet);
        limit.acquire(MetaCodec.MAX_VALUE_BYTES, acquired::incrementAndGet);
        return acquired.get();
    }

    @Test
    void aGrantedClaimIsReleasedOnce() {
        claim.request();
        assertThat(readable).containsExactly(false, true);
        claim.release();
        claim.release();
        assertThat(available()).isEqualTo(2);
    }

    /**
     * Guards against a slot that is never released because a body ends while it waits and the next body requests the
     * claim again.
     */
    @Test
    void aClaimThatWaitsForTwoBodiesCountsOnce() {
        limit.acquire(MetaCodec.MAX_VALUE_BYTES, () -> {}); // bodies of other connections
        limit.acquire(MetaCodec.MAX_VALUE_BYTES, () -> {});
        claim.request();
        claim.release();
        claim.request();
        limit.release(MetaCodec.MAX_VALUE_BYTES);
        limit.release(MetaCodec.MAX_VALUE_BYTES);
        runScheduled();
        assertThat(readable).endsWith(true);
        claim.release();
        runScheduled();
        assertThat(available()).isEqualTo(2);
    }
}
