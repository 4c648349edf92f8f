package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Hedging of attempts at slow and hung servers. */
class HedgingPolicyTest {
    /**
     * The hung server accepts requests and answers none; the runner-up receives the request early enough to meet the
     * latency objective.
     */
    @Test
    void replacesAttemptAtHungServerInTime() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        harness.read(1, 7);
        PolicyHarness.SentAttempt hung = harness.lastSent();
        harness.advanceTime(200);
        assertThat(harness.cancelled).containsExactly("1/0");
        harness.end(hung, AttemptOutcome.CANCELLED);
        assertThat(harness.lastSent().serverId()).isNotIn(hung.serverId(), PolicyHarness.ORIGIN);
    }

    /** Hedges have a budget, so that a slowdown of all servers does not cause twice the load. */
    @Test
    void limitsHedgesWhenAllServersSlowDown() {
        PolicyHarness harness =
                new PolicyHarness(PolicyHarness.settings(true, false, true, DeduplicationScope.ALL)).withFleet(12);
        for (int id = 1; id <= 200; id++) {
            harness.nowMs += 1;
            harness.read(id, id);
        }
        harness.advanceTime(400);
        assertThat(harness.sentAttempts).hasSizeLessThan(200 + 10);
    }

    /** The timer of an attempt that has ended must not hedge the one that followed it. */
    @Test
    void hedgesAttemptByItsOwnDelay() {
        PolicyHarness harness =
                new PolicyHarness(PolicyHarness.settings(true, false, true, DeduplicationScope.ALL)).withFleet(12);
        harness.read(1, 77);
        harness.advanceTime(140);
        harness.end(harness.lastSent(), AttemptOutcome.RESET);
        assertThat(harness.sentAttempts).hasSize(2);
        harness.advanceTime(20); // beyond the first attempt's delay of 150 ms, within the second's
        assertThat(harness.sentAttempts).hasSize(2);
        harness.advanceTime(140);
        assertThat(harness.sentAttempts).hasSize(3);
    }

    /** Guards against a burst of hedges beyond the budget after many refunds without a recorded success in between. */
    @Test
    void refundsNeverExceedTheBudget() {
        PolicySettings settings = PolicyHarness.settings(true, false, true, DeduplicationScope.ALL);
        HedgingPolicy hedging = new HedgingPolicy(settings, new LatencyEstimates(settings.classes()));
        for (int refund = 0; refund < 50; refund++) {
            hedging.refund();
        }
        PendingRequest pending = new PendingRequest(
                0,
                new RoutingRequest(1, 0, 0, 7, 1000, Double.NaN, 0, false, false),
                settings.classes().get(0),
                1,
                3);
        int hedges = 0;
        while (hedges < 50 && hedging.tryAcquire(0, pending)) {
            hedges++;
        }
        assertThat(hedges).isEqualTo(5);
    }
}
