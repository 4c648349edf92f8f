package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The retry budget under simulated time. */
class RetryBudgetTest {
    @Test
    void retriesStayWithinRatioUnderOverloadAndRecoverAfterwards() {
        RetryBudget budget = new RetryBudget(0.2, 2);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) { // ten seconds, in which each request asks for two retries
            budget.recordFirstAttempt(i);
            for (int attempt = 0; attempt < 2; attempt++) {
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
                .as("a few retries a second regardless of the ratio")
                .isTrue();
        RetryBudget empty = new RetryBudget(0, 0);
        empty.recordFirstAttempt(0);
        assertThat(empty.tryAcquire(0)).isFalse();
    }
}
