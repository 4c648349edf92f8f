package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The subscription to the endpoint list. */
class EndpointListWatchTest {
    /** The proxies of a fleet must not call discovery at the same moment, nor at once after a failure. */
    @Test
    void subscribesOnceWithDelayAndRetriesLater() {
        PolicyHarness harness =
                new PolicyHarness(PolicyHarness.settings(true, true, false, DeduplicationScope.ALL)).withFleet(5);
        assertThat(harness.watchCount).isZero();
        harness.advanceTime(5000);
        assertThat(harness.watchCount).isEqualTo(1);
        harness.policy.onEndpointList(harness.nowMs, EndpointListKind.FAILED, List.of(), harness);
        assertThat(harness.watchCount).isEqualTo(1);
        harness.advanceTime(5000);
        assertThat(harness.watchCount).isEqualTo(2);
        harness.changeEndpoints();
        harness.advanceTime(60000);
        assertThat(harness.watchCount).isEqualTo(2);
    }

    /**
     * Guards against an invalid list that counts as discovery's answer, after which discovery is called without
     * backoff.
     */
    @Test
    void invalidListDoesNotResetBackoff() {
        PolicyHarness harness =
                new PolicyHarness(PolicyHarness.settings(true, true, false, DeduplicationScope.ALL)).withFleet(5);
        harness.advanceTime(5000);
        for (int failure = 0; failure < 3; failure++) {
            harness.policy.onEndpointList(harness.nowMs, EndpointListKind.FAILED, List.of(), harness);
            harness.advanceTime(10_000);
        }
        Endpoint duplicate = PolicyHarness.endpoint(3, EndpointState.READY, 0);
        assertThatThrownBy(() -> harness.changeEndpoints(duplicate, duplicate))
                .isInstanceOf(IllegalArgumentException.class);
        harness.timers.clear();
        harness.policy.onEndpointList(harness.nowMs, EndpointListKind.FAILED, List.of(), harness);
        assertThat(harness.timers)
                .singleElement()
                .satisfies(retry -> assertThat(retry.dueAtMs() - harness.nowMs)
                        .as("after four failures in a row")
                        .isGreaterThanOrEqualTo(10_000.0 / 16 * 8 / 2));
    }
}
