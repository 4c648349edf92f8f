package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** No request takes effect twice. */
class RetryRulesTest {
    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void failsNonIdempotentRequestThatMayHaveRun(AttemptOutcome outcome) {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        harness.write(1, PolicyHarness.NON_IDEMPOTENT);
        harness.end(harness.lastSent(), outcome);
        harness.advanceTime(2000);
        assertThat(harness.sentAttempts).hasSize(1);
        assertThat(harness.failed).containsExactly(1);
        assertThat(harness.rejected).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "CONNECT_FAILED"})
    void retriesNonIdempotentRequestThatHasNotRun(AttemptOutcome outcome) {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        harness.write(1, PolicyHarness.NON_IDEMPOTENT);
        harness.end(harness.lastSent(), outcome);
        harness.advanceTime(500);
        assertThat(harness.sentAttempts).hasSize(2);
    }

    @Test
    void retriesDeduplicatedRequestOnlyWithinItsWindow() {
        PolicyHarness inside =
                new PolicyHarness(PolicyHarness.settings(false, false, false, DeduplicationScope.ALL)).withFleet(12);
        inside.write(1, PolicyHarness.DEDUPLICATED);
        inside.nowMs += 399;
        inside.end(inside.lastSent(), AttemptOutcome.RESET);
        assertThat(inside.sentAttempts).hasSize(2);
        PolicyHarness late =
                new PolicyHarness(PolicyHarness.settings(false, false, false, DeduplicationScope.ALL)).withFleet(12);
        late.write(1, PolicyHarness.DEDUPLICATED);
        late.nowMs += 400;
        late.end(late.lastSent(), AttemptOutcome.RESET);
        assertThat(late.sentAttempts).hasSize(1);
        assertThat(late.finalResponses()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(
            value = DeduplicationScope.class,
            names = {"ZONE", "CELL"})
    void retriesDeduplicatedRequestOnlyInItsScopeAndNeverRejectsIt(DeduplicationScope scope) {
        for (int key = 1; key < 60; key++) {
            PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(false, false, false, scope)).withFleet(12);
            harness.policy.onRequest(
                    harness.nowMs,
                    new RoutingRequest(
                            1, PolicyHarness.DEDUPLICATED, 0, key, harness.nowMs + 1000, Double.NaN, 0, true, false),
                    harness);
            int first = harness.lastSent().serverId();
            harness.end(harness.lastSent(), AttemptOutcome.RESET);
            if (harness.sentAttempts.size() > 1) {
                int second = harness.lastSent().serverId();
                assertThat(scope == DeduplicationScope.ZONE ? second % 2 : second / 4)
                        .isEqualTo(scope == DeduplicationScope.ZONE ? first % 2 : first / 4);
            } else {
                assertThat(harness.failed).containsExactly(1);
            }
            assertThat(harness.rejected).isEmpty();
        }
    }

    @Test
    void limitsAttempts() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(12);
        harness.read(1, 7);
        for (int i = 0; i < 6 && harness.finalResponses() == 0; i++) {
            harness.end(harness.lastSent(), AttemptOutcome.CONNECT_FAILED);
        }
        assertThat(harness.sentAttempts).hasSizeLessThanOrEqualTo(3);
        assertThat(harness.finalResponses()).isEqualTo(1);
    }
}
