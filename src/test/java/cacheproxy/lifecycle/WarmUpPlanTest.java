package cacheproxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The number of requests in a {@link WarmUpPlan}. */
class WarmUpPlanTest {
    @Test
    void warmsUpFullyInSmallFleetOrBesideRunningProcess() {
        assertThat(WarmUpPlan.of(2, false).requests()).isEqualTo(WarmUpPlan.FULL_REQUESTS);
        assertThat(WarmUpPlan.of(48, false).requests())
                .isEqualTo(WarmUpPlan.REDUCED_REQUESTS)
                .isLessThan(WarmUpPlan.FULL_REQUESTS / 10);
        assertThat(WarmUpPlan.of(48, true).requests()).isEqualTo(WarmUpPlan.FULL_REQUESTS);
        // Well within the 6 s in which a new version must accept clients.
        assertThat(WarmUpPlan.of(48, true).timeLimitMs()).isLessThan(5000);
    }
}
