package cacheproxy.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fleet.quota.QuotaSpec;
import org.junit.jupiter.api.Test;

/** What is made of the requests that a simulated fleet admits and rejects. */
class QuotaMetricsTest {
    private static QuotaMetrics metrics(boolean concurrent) {
        double maxHoldMs = concurrent ? 100 : 0;
        return new QuotaMetrics(
                new QuotaSpec("l", concurrent, 10, 0, QuotaSpec.IsolationPolicy.SHARE, 1, maxHoldMs), 5000);
    }

    @Test
    void findsTheWorstWindowOfARate() {
        QuotaMetrics metrics = metrics(false);
        for (int i = 0; i < 12; i++) {
            metrics.recordAdmitted(1000 + i);
        }
        QuotaSimulation.Result result = metrics.result(3);
        assertThat(result.overshoot()).containsExactly(11, 2, -88);
        assertThat(result.admitted()).isEqualTo(12);
        assertThat(result.messagesPerSecond()).isEqualTo(3);
    }

    @Test
    void countsUnusedQuotaOnlyWhereRequestsWereRejected() {
        QuotaMetrics metrics = metrics(false);
        metrics.recordRejected(1500); // too early to count
        metrics.recordAdmitted(3500);
        for (int i = 0; i < 4; i++) {
            metrics.recordRejected(3600);
        }
        assertThat(metrics.result(0).idleFraction()).isEqualTo(0.2); // 4 of 10 in one of two seconds
        assertThat(metrics.result(0).rejected()).isEqualTo(5);
    }

    @Test
    void findsTheMostRequestsInFlight() {
        QuotaMetrics metrics = metrics(true);
        for (int i = 0; i < 13; i++) {
            metrics.recordBegin();
        }
        metrics.recordEnd();
        metrics.recordBegin();
        assertThat(metrics.result(0).overshoot()[0]).isEqualTo(3);
    }
}
