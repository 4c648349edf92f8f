package cacheproxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WarmUpPlanTest {
    @Test
    void fewProxiesWarmUpForLongManyAreBackSoonAndANewVersionTakesItsTime() {
        assertThat(WarmUpPlan.of(2, false).requests()).isEqualTo(WarmUpPlan.LONG);
        assertThat(WarmUpPlan.of(48, false).requests())
                .isEqualTo(WarmUpPlan.SHORT)
                .isLessThan(WarmUpPlan.LONG / 10);
        assertThat(WarmUpPlan.of(48, true).requests()).isEqualTo(WarmUpPlan.LONG);
        // Well within the 6 s that a new version has to say yes.
        assertThat(WarmUpPlan.of(48, true).limitMs()).isLessThan(5000);
    }
}
