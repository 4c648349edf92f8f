package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Averages of latencies and of cost hints, which clients write. */
class LatencyEstimatesTest {
    private static final double DEADLINE_MS = 1000;

    private final LatencyEstimates estimates = new LatencyEstimates(List.of(new ServiceClass(
            "read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, DEADLINE_MS, 1, 0.2, false)));

    private static RoutingRequest withCostHint(double costHintMs) {
        return new RoutingRequest(1, 0, 0, 7, DEADLINE_MS, costHintMs, 0, false, false);
    }

    private void recordUsualTraffic() {
        for (int i = 0; i < 200; i++) {
            RoutingRequest request = withCostHint(2);
            estimates.recordCost(request);
            estimates.recordServer(request, 3);
        }
    }

    /** Guards against one client's hint making averages infinite for good, or hedging delays of others useless. */
    @ParameterizedTest
    @ValueSource(doubles = {Double.POSITIVE_INFINITY, Double.NaN, -5, Double.MAX_VALUE, 1e12, Double.MIN_VALUE})
    void aHintThatNoRequestCanMeanBendsNothing(double hintMs) {
        recordUsualTraffic();
        double usualMs = estimates.usualServerMs(withCostHint(2));
        RoutingRequest strange = withCostHint(hintMs);
        estimates.recordCost(strange);
        estimates.recordServer(strange, 3);
        assertThat(estimates.usualServerMs(withCostHint(2))).isBetween(usualMs / 2, usualMs * 2);
        assertThat(estimates.usualServerMs(strange)).isBetween(0.0, DEADLINE_MS * 1000);
        assertThat(estimates.serverMs()).isFinite();
        recordUsualTraffic();
        assertThat(estimates.usualServerMs(withCostHint(2))).isBetween(usualMs / 2, usualMs * 2);
    }

    /** Guards against a first hint that none of the later ones can outweigh. */
    @Test
    void aStrangeFirstHintDoesNotSetTheAverage() {
        estimates.recordCost(withCostHint(1e300));
        recordUsualTraffic();
        assertThat(estimates.usualServerMs(withCostHint(2))).isBetween(1.0, 100.0);
    }
}
