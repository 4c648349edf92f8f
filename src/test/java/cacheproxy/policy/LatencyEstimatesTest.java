package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Averages of latencies and of cost hints, which clients set. */
class LatencyEstimatesTest {
    private static final double DEADLINE_MS = 1000;

    private final LatencyEstimates estimates = new LatencyEstimates(List.of(new ServiceClass(
            "read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, DEADLINE_MS, 1, 0.2, false)));

    private static RoutingRequest withCostHint(double costHintMs) {
        return new RoutingRequest(1, 0, 0, 7, DEADLINE_MS, costHintMs, 0, false, false);
    }

    private void recordTypicalTraffic() {
        for (int i = 0; i < 200; i++) {
            RoutingRequest request = withCostHint(2);
            estimates.recordCost(request);
            estimates.recordServer(request, 3);
        }
    }

    /**
     * Guards against one client's cost hint that makes averages permanently infinite, or hedging delays of other
     * requests useless.
     */
    @ParameterizedTest
    @ValueSource(doubles = {Double.POSITIVE_INFINITY, Double.NaN, -5, Double.MAX_VALUE, 1e12, Double.MIN_VALUE})
    void implausibleHintDoesNotDistortEstimates(double hintMs) {
        recordTypicalTraffic();
        double typicalMs = estimates.expectedMaxServerMs(withCostHint(2));
        RoutingRequest implausible = withCostHint(hintMs);
        estimates.recordCost(implausible);
        estimates.recordServer(implausible, 3);
        assertThat(estimates.expectedMaxServerMs(withCostHint(2))).isBetween(typicalMs / 2, typicalMs * 2);
        assertThat(estimates.expectedMaxServerMs(implausible)).isBetween(0.0, DEADLINE_MS * 1000);
        assertThat(estimates.serverMs()).isFinite();
        recordTypicalTraffic();
        assertThat(estimates.expectedMaxServerMs(withCostHint(2))).isBetween(typicalMs / 2, typicalMs * 2);
    }

    /** Guards against a first cost hint that sets an average so large that later hints cannot correct it. */
    @Test
    void implausibleFirstHintDoesNotSetAverage() {
        estimates.recordCost(withCostHint(1e300));
        recordTypicalTraffic();
        assertThat(estimates.expectedMaxServerMs(withCostHint(2))).isBetween(1.0, 100.0);
    }
}
