package cacheproxy.simulation;

import static cacheproxy.simulation.SimulatedFault.HOT_KEY_AT_A_COLD_NODE;
import static cacheproxy.simulation.SimulatedFault.PROXIES_KILLED;
import static cacheproxy.simulation.SimulatedFault.RELEASE;
import static cacheproxy.simulation.SimulatedFault.ZONE_LOST;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.policy.RoutingPolicy;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The rules over a whole fleet: no module sees the sums, so they are judged by what arrives. */
class FleetSimulationTest {
    private static final double TIP = 3;

    @ParameterizedTest
    @CsvSource({
        "14, 60, 4, RELEASE",
        "14, 60, 4, ZONE_LOST",
        "14, 60, 4, PROXIES_KILLED",
        "14, 60, 1, RELEASE+ZONE_LOST+PROXIES_KILLED",
        "1, 8, 1, RELEASE+ZONE_LOST",
        "72, 140, 4, RELEASE+ZONE_LOST+PROXIES_KILLED",
        "100, 200, 4, RELEASE",
        "6, 35, 4, HOT_KEY_AT_A_COLD_NODE",
        "6, 35, 4, HOT_KEY_AT_A_COLD_NODE+PROXIES_KILLED",
        "14, 60, 4, HOT_KEY_AT_A_COLD_NODE",
        "100, 200, 4, HOT_KEY_AT_A_COLD_NODE",
        "100, 200, 4, HOT_KEY_AT_A_COLD_NODE+PROXIES_KILLED",
        "96, 63, 4, RELEASE+PROXIES_KILLED",
        "96, 63, 4, HOT_KEY_AT_A_COLD_NODE",
        "96, 63, 4, HOT_KEY_AT_A_COLD_NODE+PROXIES_KILLED",
        "72, 140, 4, HOT_KEY_AT_A_COLD_NODE+PROXIES_KILLED"
    })
    void noColdNodeIsPushedOverNoUnsafeWriteRunsTwiceAndAllIsAnswered(
            int proxies, int nodes, int zones, String troubles) {
        for (int seed = 1; seed <= (proxies < 50 ? 3 : 1); seed++) {
            FleetSimulationResult report = play(new FleetSimulationConfig(
                    proxies, nodes, zones, 0.68, proxies < 50 ? 24 : 16, troubles(troubles), seed));
            assertThat(report.coldSends())
                    .as("requests that cold nodes were sent")
                    .isGreaterThan(nodes / 4);
            assertThat(report.worstCold())
                    .as("work sent to a cold node, by what it could do")
                    .isLessThan(TIP);
            assertThat(report.worstEffect()).isEqualTo(1);
            assertThat(report.unanswered()).isZero();
            assertThat(report.service()).isGreaterThan(0.6);
        }
    }

    /** The settings' edges: one of each, more zones than nodes, a zone with one node, more proxies than nodes. */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "1, 1, 4", "3, 5, 4", "100, 4, 4", "1, 200, 1"})
    void atTheEdgesOfTheSettingsAllIsAnsweredAndNothingRunsTwice(int proxies, int nodes, int zones) {
        for (String troubles : new String[] {"", "RELEASE", "RELEASE+ZONE_LOST"}) {
            FleetSimulationResult report =
                    play(new FleetSimulationConfig(proxies, nodes, zones, 0.5, 12, troubles(troubles), 1));
            assertThat(report.asked()).isGreaterThan(20);
            assertThat(report.unanswered()).isZero();
            assertThat(report.worstEffect()).isLessThanOrEqualTo(1);
            assertThat(report.worstCold()).isLessThan(TIP);
            assertThat(report.service()).as(troubles).isGreaterThan(nodes == 1 ? 0.1 : 0.4);
        }
    }

    /** Bounds on what all proxies together spend beyond the first attempt of each request. */
    @Test
    void theSumsOfAHundredProxiesStayBounded() {
        FleetSimulationResult calm = play(new FleetSimulationConfig(100, 200, 4, 0.68, 10, Set.of(), 7));
        assertThat(calm.service()).isGreaterThan(0.85);
        assertThat(calm.copies()).as("second copies").isLessThan(calm.asked() / 10);
        assertThat(calm.attemptsEach()).isLessThan(2);
        assertThat(calm.dead()).isZero();
        FleetSimulationResult lost = play(new FleetSimulationConfig(100, 200, 4, 0.68, 10, Set.of(ZONE_LOST), 7));
        assertThat(lost.dead()).as("attempts at 50 silent nodes by 100 proxies").isBetween(1, lost.attempts() / 8);
    }

    @Test
    void theSamePlanGivesTheSameFiguresAndAnotherSeedOthers() {
        FleetSimulationConfig plan = new FleetSimulationConfig(14, 30, 4, 0.6, 10, Set.of(RELEASE, PROXIES_KILLED), 5);
        FleetSimulationResult first = play(plan);
        assertThat(play(plan)).isEqualTo(first);
        assertThat(play(new FleetSimulationConfig(14, 30, 4, 0.6, 10, Set.of(RELEASE, PROXIES_KILLED), 6)))
                .isNotEqualTo(first);
    }

    @Test
    void aPlanOutOfItsRangesIsRefusedWithTheFigure() {
        assertThatThrownBy(() -> new FleetSimulationConfig(0, 1, 1, 0.5, 1, Set.of(), 1))
                .hasMessageContaining("0 proxies");
        assertThatThrownBy(() -> new FleetSimulationConfig(1, 1, 1, 2, 1, Set.of(), 1))
                .hasMessageContaining("load 2.0");
        assertThatThrownBy(() -> new FleetSimulationConfig(1, 1, 1, Double.NaN, 1, Set.of(HOT_KEY_AT_A_COLD_NODE), 1))
                .hasMessageContaining("NaN");
    }

    private static FleetSimulationResult play(FleetSimulationConfig plan) {
        return new FleetSimulation(plan, RoutingPolicy::new).run();
    }

    private static Set<SimulatedFault> troubles(String names) {
        return Arrays.stream(names.split("\\+"))
                .filter(n -> !n.isEmpty())
                .map(SimulatedFault::valueOf)
                .collect(Collectors.toSet());
    }
}
