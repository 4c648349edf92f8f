package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The slow-start budget under simulated time. */
class SlowStartBudgetTest {
    /**
     * Whatever the pools and bursts, the server receives less than three times its capacity in each overload window.
     */
    @Test
    void warmingUpServerIsNeverSentMoreThanTheMultipleOfItsCapacity() {
        for (int proxyCount : new int[] {1, 4}) {
            SlowStartBudget budget = new SlowStartBudget(new SlowStartConfig(0.3, 9000, 1500, proxyCount, 50));
            budget.setServerRate(7, 200);
            SplittableRandom random = new SplittableRandom(5);
            ArrayDeque<Double> sentAtMs = new ArrayDeque<>();
            double worstRatio = 0;
            int total = 0;
            for (double nowMs = 1000;
                    nowMs < 10_000;
                    nowMs += random.nextInt(2000) == 0 ? 400 * random.nextDouble() : 0.2) {
                if (budget.tryAcquire(nowMs, 7, 1000)) {
                    total++;
                    sentAtMs.add(nowMs);
                    while (sentAtMs.peek() < nowMs - 1500) {
                        sentAtMs.poll();
                    }
                    double capacityPerSecond = 200 * (0.3 + 0.7 * (sentAtMs.peek() - 1000) / 9000);
                    worstRatio = Math.max(worstRatio, proxyCount * sentAtMs.size() / (capacityPerSecond * 1.5));
                }
            }
            assertThat(total).isPositive();
            assertThat(worstRatio).isLessThan(3).isGreaterThan(0.8);
        }
    }

    @Test
    void restartBeginsSlowStartAnewWithoutSavedTokens() {
        SlowStartBudget budget = new SlowStartBudget(new SlowStartConfig(0.3, 9000, 1500, 1, 100));
        for (int i = 0; i < 100; i++) {
            budget.tryAcquire(8000, 1, 0);
        }
        int taken = 0;
        while (budget.tryAcquire(20_000, 1, 20_000)) {
            taken++;
        }
        assertThat(taken).isEqualTo(1);
    }
}
