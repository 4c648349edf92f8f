package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Limits under time that the tests make. */
class LimitsTest {
    @Test
    void tokenBucketAllowsBurstThenRate() {
        TokenBucket bucket = new TokenBucket(100, 5);
        int taken = 0;
        for (int ms = 0; ms <= 1000; ms++) {
            while (bucket.tryAcquire(ms)) {
                taken++;
            }
        }
        assertThat(taken).isBetween(104, 105);
        assertThat(bucket.waitMs(1000)).isPositive().isLessThanOrEqualTo(10);
        assertThat(bucket.tryAcquire(1000)).isFalse();
        assertThat(bucket.tryAcquire(1011)).isTrue();
        assertThatThrownBy(() -> new TokenBucket(0, 1)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void retriesStayWithinRatioUnderOverloadAndRecoverAfterwards() {
        RetryBudget budget = new RetryBudget(0.2, 2);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) { // ten seconds, each request wants two more attempts
            budget.recordFirstAttempt(i);
            for (int k = 0; k < 2; k++) {
                retries += budget.tryAcquire(i) ? 1 : 0;
            }
        }
        assertThat(retries).isBetween(2000, 2000 + 10 + 21);
        assertThat(budget.tryAcquire(10_000)).isFalse();
        for (int i = 0; i < 100; i++) {
            budget.recordFirstAttempt(10_000);
        }
        for (int i = 0; i < 10; i++) {
            assertThat(budget.tryAcquire(10_000)).isTrue();
        }
        assertThat(budget.tryAcquire(10_000)).isFalse();
        assertThat(budget.tryAcquire(10_500))
                .as("a few a second whatever the share")
                .isTrue();
        RetryBudget none = new RetryBudget(0, 0);
        none.recordFirstAttempt(0);
        assertThat(none.tryAcquire(0)).isFalse();
    }

    /** Whoever asks, however many pools, however burstily: no span of the fall time gets more than the multiple. */
    @Test
    void warmingUpServerIsNeverSentMoreThanTheMultipleOfItsCapacity() {
        for (int proxyCount : new int[] {1, 4}) {
            SlowStartBudget budget =
                    new SlowStartBudget(new SlowStartBudget.SlowStartConfig(0.3, 9000, 1500, proxyCount, 50));
            budget.setServerRate(7, 200);
            SplittableRandom random = new SplittableRandom(5);
            ArrayDeque<Double> sent = new ArrayDeque<>();
            double worst = 0;
            int total = 0;
            for (double nowMs = 1000;
                    nowMs < 10_000;
                    nowMs += random.nextInt(2000) == 0 ? 400 * random.nextDouble() : 0.2) {
                if (budget.tryAcquire(nowMs, 7, 1000)) {
                    total++;
                    sent.add(nowMs);
                    while (sent.peek() < nowMs - 1500) {
                        sent.poll();
                    }
                    double capacityPerSecond = 200 * (0.3 + 0.7 * (sent.peek() - 1000) / 9000);
                    worst = Math.max(worst, proxyCount * sent.size() / (capacityPerSecond * 1.5));
                }
            }
            assertThat(total).isPositive();
            assertThat(worst).isLessThan(3).isGreaterThan(0.8);
        }
    }

    @Test
    void restartBeginsSlowStartAnewWithoutSavedTokens() {
        SlowStartBudget budget = new SlowStartBudget(new SlowStartBudget.SlowStartConfig(0.3, 9000, 1500, 1, 100));
        for (int i = 0; i < 100; i++) {
            budget.tryAcquire(8000, 1, 0);
        }
        int taken = 0;
        while (budget.tryAcquire(20_000, 1, 20_000)) {
            taken++;
        }
        assertThat(taken).isEqualTo(1);
    }

    @Test
    void serverThatRefusedConnectionsCountsAsRestartedOnNextAccept() {
        ServerStartTimes startTimes = new ServerStartTimes();
        assertThat(startTimes.startMs(1)).isZero();
        assertThat(startTimes.connectionAccepted(1, 50)).isFalse();
        startTimes.connectionRefused(1);
        startTimes.connectionRefused(1);
        assertThat(startTimes.startMs(1)).isZero();
        assertThat(startTimes.connectionAccepted(1, 100)).isTrue();
        assertThat(startTimes.connectionAccepted(1, 200)).isFalse();
        assertThat(startTimes.startMs(1)).isEqualTo(100);
        startTimes.added(2, 300);
        startTimes.added(1, 300);
        assertThat(startTimes.startMs(1)).isEqualTo(100);
        startTimes.retainAll(java.util.Set.of(1));
        assertThat(startTimes.startMs(2)).isZero();
    }

    @Test
    void fullPoolReturnsRetryDelay() {
        PoolLimiter limiter = new PoolLimiter(2, 10);
        assertThat(limiter.admit(0, 2)).isEqualTo(PoolLimiter.FULL_POOL_WAIT_MS);
        assertThat(limiter.admit(0, 1)).isZero();
        assertThat(limiter.admit(0, 1)).isBetween(1.0, 100.0);
        assertThat(limiter.admit(100, 1)).isZero();
        assertThat(new PoolLimiter(1, 0).admit(0, 0)).isZero();
    }
}
