package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

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
}
