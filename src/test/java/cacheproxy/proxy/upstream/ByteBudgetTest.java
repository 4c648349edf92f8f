package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that reservations never exceed the limit in total, and that none that fits is rejected. */
class ByteBudgetTest {
    private static final int MAX_BYTES = 1000;

    @Test
    void reservesUpToTheBoundAndNotBeyond() {
        ByteBudget budget = new ByteBudget(MAX_BYTES);
        assertThat(budget.reserve(MAX_BYTES + 1)).isFalse();
        assertThat(budget.reserve(MAX_BYTES))
                .as("a rejected reservation reserves nothing")
                .isTrue();
        assertThat(budget.reserve(1)).isFalse();
        assertThat(budget.reserve(0)).isTrue();
        budget.release(1);
        assertThat(budget.reserve(2)).isFalse();
        assertThat(budget.reserve(1)).isTrue();
    }

    @Test
    void boundsBeyondTheRangeOfIntegersAreKept() {
        ByteBudget budget = new ByteBudget(Integer.MAX_VALUE + 1L);
        assertThat(budget.reserve(Integer.MAX_VALUE)).isTrue();
        assertThat(budget.reserve(1)).isTrue();
        assertThat(budget.reserve(1)).isFalse();
    }

    @Test
    void agreesWithTheSumOfReservations() {
        Random random = new Random(11);
        ByteBudget budget = new ByteBudget(MAX_BYTES);
        ArrayDeque<Integer> reserved = new ArrayDeque<>();
        int sum = 0;
        for (int step = 0; step < 10_000; step++) {
            int bytes = random.nextInt(400);
            boolean fits = sum + bytes <= MAX_BYTES;
            assertThat(budget.reserve(bytes)).as("step %d", step).isEqualTo(fits);
            if (fits) {
                reserved.add(bytes);
                sum += bytes;
            }
            if (!reserved.isEmpty() && random.nextBoolean()) {
                int released = reserved.poll();
                budget.release(released);
                sum -= released;
            }
        }
    }
}
