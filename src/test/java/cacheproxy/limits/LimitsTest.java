package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Limits under time that the tests make. */
class LimitsTest {
    @Test
    void aBucketGivesItsBurstAndThenItsRate() {
        TokenBucket bucket = new TokenBucket(100, 5);
        int taken = 0;
        for (int ms = 0; ms <= 1000; ms++) {
            while (bucket.take(ms)) {
                taken++;
            }
        }
        assertThat(taken).isBetween(104, 105);
        assertThat(bucket.waitMs(1000)).isPositive().isLessThanOrEqualTo(10);
        assertThat(bucket.take(1000)).isFalse();
        assertThat(bucket.take(1011)).isTrue();
        assertThatThrownBy(() -> new TokenBucket(0, 1)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void retriesStayWithinTheirShareInAStormAndComeBackAfterIt() {
        RetryBudget budget = new RetryBudget(0.2, 2);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) { // ten seconds, each request wants two more attempts
            budget.first(i);
            for (int k = 0; k < 2; k++) {
                retries += budget.retry(i) ? 1 : 0;
            }
        }
        assertThat(retries).isBetween(2000, 2000 + 10 + 21);
        assertThat(budget.retry(10_000)).isFalse();
        for (int i = 0; i < 100; i++) {
            budget.first(10_000);
        }
        for (int i = 0; i < 10; i++) {
            assertThat(budget.retry(10_000)).isTrue();
        }
        assertThat(budget.retry(10_000)).isFalse();
        assertThat(budget.retry(10_500)).as("a few a second whatever the share").isTrue();
        RetryBudget none = new RetryBudget(0, 0);
        none.first(0);
        assertThat(none.retry(0)).isFalse();
    }

    /** Whoever asks, however many pools, however burstily: no span of the fall time gets more than the multiple. */
    @Test
    void aColdServerIsNeverSentMoreThanTheMultipleOfWhatItCanDo() {
        for (int instances : new int[] {1, 4}) {
            SlowStartBudget budget = new SlowStartBudget(new SlowStartBudget.Figures(0.3, 9000, 1500, instances, 50));
            budget.rate(7, 200);
            SplittableRandom random = new SplittableRandom(5);
            ArrayDeque<Double> sent = new ArrayDeque<>();
            double worst = 0;
            int total = 0;
            for (double now = 1000; now < 10_000; now += random.nextInt(2000) == 0 ? 400 * random.nextDouble() : 0.2) {
                if (budget.take(now, 7, 1000)) {
                    total++;
                    sent.add(now);
                    while (sent.peek() < now - 1500) {
                        sent.poll();
                    }
                    double can = 200 * (0.3 + 0.7 * (sent.peek() - 1000) / 9000);
                    worst = Math.max(worst, instances * sent.size() / (can * 1.5));
                }
            }
            assertThat(total).isPositive();
            assertThat(worst).isLessThan(3).isGreaterThan(0.8);
        }
    }

    @Test
    void aRestartBeginsTheColdTimeAnewAndWithoutSavings() {
        SlowStartBudget budget = new SlowStartBudget(new SlowStartBudget.Figures(0.3, 9000, 1500, 1, 100));
        for (int i = 0; i < 100; i++) {
            budget.take(8000, 1, 0);
        }
        int taken = 0;
        while (budget.take(20_000, 1, 20_000)) {
            taken++;
        }
        assertThat(taken).isEqualTo(1);
    }

    @Test
    void aServerThatRefusedConnectionsHasStartedAnewWhenItTakesThem() {
        ServerStartTimes births = new ServerStartTimes();
        assertThat(births.of(1)).isZero();
        assertThat(births.connected(1, 50)).isFalse();
        births.refused(1);
        births.refused(1);
        assertThat(births.of(1)).isZero();
        assertThat(births.connected(1, 100)).isTrue();
        assertThat(births.connected(1, 200)).isFalse();
        assertThat(births.of(1)).isEqualTo(100);
        births.added(2, 300);
        births.added(1, 300);
        assertThat(births.of(1)).isEqualTo(100);
        births.keep(java.util.Set.of(1));
        assertThat(births.of(2)).isZero();
    }

    @Test
    void aFullPoolTellsWhenToComeBack() {
        PoolLimiter gate = new PoolLimiter(2, 10);
        assertThat(gate.admit(0, 2)).isEqualTo(PoolLimiter.FULL_WAIT_MS);
        assertThat(gate.admit(0, 1)).isZero();
        assertThat(gate.admit(0, 1)).isBetween(1.0, 100.0);
        assertThat(gate.admit(100, 1)).isZero();
        assertThat(new PoolLimiter(1, 0).admit(0, 0)).isZero();
    }
}
