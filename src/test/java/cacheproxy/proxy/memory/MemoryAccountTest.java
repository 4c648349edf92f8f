package cacheproxy.proxy.memory;

import static cacheproxy.proxy.memory.MemoryPurpose.HELD_VALUE;
import static cacheproxy.proxy.memory.MemoryPurpose.QUEUED_RESPONSE;
import static cacheproxy.proxy.memory.MemoryPurpose.RESPONSE;
import static cacheproxy.proxy.memory.MemoryPurpose.STREAMED_VALUE;
import static cacheproxy.proxy.memory.MemoryPurpose.WRITE_VALUE;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests that reservations never exceed the limits, that none that fits is rejected, and that each purpose keeps its
 * guaranteed part.
 */
class MemoryAccountTest {
    private static final int MAX_BYTES = 1000;
    private static final long MIB = 1 << 20;
    /** 10 MiB for writes, of which 6 MiB are shared with other purposes. */
    private static final MemoryLimits LIMITS = MemoryLimits.of(10 * MIB, 5 * MIB, 8 * MIB, 8 * MIB);

    private final List<Runnable> scheduled = new ArrayList<>();

    private static MemoryAccount only(long maxBytes) {
        return new MemoryAccount(Runnable::run, MemoryLimits.ofOnly(WRITE_VALUE, maxBytes));
    }

    private MemoryAccount account() {
        return new MemoryAccount(scheduled::add, LIMITS);
    }

    private void runScheduled() {
        List<Runnable> due = List.copyOf(scheduled);
        scheduled.clear();
        due.forEach(Runnable::run);
    }

    @Test
    void reservesUpToTheBoundAndNotBeyond() {
        MemoryAccount account = only(MAX_BYTES);
        assertThat(account.reserve(WRITE_VALUE, MAX_BYTES + 1)).isFalse();
        assertThat(account.reserve(WRITE_VALUE, MAX_BYTES))
                .as("a rejected reservation reserves nothing")
                .isTrue();
        assertThat(account.reserve(WRITE_VALUE, 1)).isFalse();
        assertThat(account.reserve(WRITE_VALUE, 0)).isTrue();
        account.release(WRITE_VALUE, 1);
        assertThat(account.reserve(WRITE_VALUE, 2)).isFalse();
        assertThat(account.reserve(WRITE_VALUE, 1)).isTrue();
    }

    @Test
    void boundsBeyondTheRangeOfIntegersAreKept() {
        MemoryAccount account = only(Integer.MAX_VALUE + 1L);
        assertThat(account.reserve(WRITE_VALUE, Integer.MAX_VALUE)).isTrue();
        assertThat(account.reserve(WRITE_VALUE, 1)).isTrue();
        assertThat(account.reserve(WRITE_VALUE, 1)).isFalse();
    }

    @Test
    void agreesWithTheSumOfReservations() {
        Random random = new Random(11);
        MemoryAccount account = only(MAX_BYTES);
        ArrayDeque<Integer> reserved = new ArrayDeque<>();
        int sum = 0;
        for (int step = 0; step < 10_000; step++) {
            int bytes = random.nextInt(400);
            boolean fits = sum + bytes <= MAX_BYTES;
            assertThat(account.reserve(WRITE_VALUE, bytes)).as("step %d", step).isEqualTo(fits);
            if (fits) {
                reserved.add(bytes);
                sum += bytes;
            }
            if (!reserved.isEmpty() && random.nextBoolean()) {
                int released = reserved.poll();
                account.release(WRITE_VALUE, released);
                sum -= released;
            }
        }
    }

    /** Guards against responses that wait for slow clients and take the memory of clients that read. */
    @Test
    void noPurposeTakesTheGuaranteedPartOfAnother() {
        MemoryAccount account = account();
        while (account.reserve(QUEUED_RESPONSE, 64 << 10)) {}
        while (account.reserve(STREAMED_VALUE, 64 << 10)) {}
        assertThat(account.reserve(RESPONSE, 2 * MIB)).isTrue();
        assertThat(account.reserve(RESPONSE, 64 << 10)).isFalse();
        assertThat(account.reserve(HELD_VALUE, 4 * MIB)).isTrue();
        assertThat(account.reserve(WRITE_VALUE, 4 * MIB + 2)).isTrue();
        assertThat(account.usedBytes()).isLessThanOrEqualTo(account.totalBytes());
    }

    /** Guards against memory that nobody uses and that is still refused. */
    @Test
    void aPurposeMayUseWhatIsNotGuaranteedToOthers() {
        MemoryAccount account = account();
        assertThat(account.reserve(WRITE_VALUE, 10 * MIB)).isTrue();
        assertThat(account.reserve(QUEUED_RESPONSE, 2 * MIB)).isTrue();
        assertThat(account.reserve(QUEUED_RESPONSE, 64 << 10)).isFalse();
        account.release(WRITE_VALUE, 10 * MIB);
        assertThat(account.reserve(QUEUED_RESPONSE, 6 * MIB - (1 << 10))).isTrue();
    }

    @Test
    void staysWithinItsLimitsUnderRandomUse() {
        Random random = new Random(71);
        MemoryAccount account = account();
        List<MemoryPurpose> purposes = List.of(MemoryPurpose.values());
        Map<MemoryPurpose, Long> used = new EnumMap<>(MemoryPurpose.class);
        for (int step = 0; step < 20_000; step++) {
            MemoryPurpose purpose = purposes.get(random.nextInt(purposes.size()));
            long held = used.getOrDefault(purpose, 0L);
            long bytes = random.nextInt(1 << 20);
            if (random.nextBoolean() && account.reserve(purpose, bytes)) {
                used.put(purpose, held + bytes);
            } else if (held > 0) {
                long released = Math.min(held, bytes);
                account.release(purpose, released);
                used.put(purpose, held - released);
            }
            long sum = used.values().stream().mapToLong(Long::longValue).sum();
            assertThat(account.usedBytes())
                    .as("step %d", step)
                    .isEqualTo(sum)
                    .isLessThanOrEqualTo(account.totalBytes());
        }
        used.forEach(account::release);
        assertThat(account.usedBytes()).isZero();
        assertThat(account.reserve(WRITE_VALUE, 10 * MIB)).isTrue();
    }

    @Test
    void thoseThatWaitTryAgainInOrderAfterARelease() {
        MemoryAccount account = account();
        assertThat(account.reserve(HELD_VALUE, 5 * MIB)).isTrue();
        List<String> resumed = new ArrayList<>();
        account.await(HELD_VALUE, () -> resumed.add("first") && account.reserve(HELD_VALUE, 4 * MIB));
        account.await(HELD_VALUE, () -> resumed.add("second") && account.reserve(HELD_VALUE, MIB));
        MemoryAccount.Waiter gone = () -> resumed.add("gone");
        account.await(HELD_VALUE, gone);
        account.cancelWait(HELD_VALUE, gone);
        account.release(HELD_VALUE, MIB);
        assertThat(resumed).as("not from within the release").isEmpty();
        runScheduled();
        assertThat(resumed).as("the second does not overtake the first").containsExactly("first");
        account.release(HELD_VALUE, 4 * MIB);
        runScheduled();
        assertThat(resumed).containsExactly("first", "first", "second");
        account.release(HELD_VALUE, MIB);
        assertThat(scheduled).as("nobody waits").isEmpty();
    }
}
