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

/** The rules over a whole fleet: no policy sees the sums, so they are judged by what arrives. */
class FleetSimulationTest {
    private static final double COLLAPSE_LOAD_MULTIPLE = 3;

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
    void overloadsNoColdServerRepeatsNoWriteAndAnswersEverything(int proxies, int servers, int zones, String faults) {
        for (int seed = 1; seed <= (proxies < 50 ? 3 : 1); seed++) {
            FleetSimulationResult result = run(new FleetSimulationConfig(
                    proxies, servers, zones, 0.68, proxies < 50 ? 24 : 16, faults(faults), seed));
            assertThat(result.coldAttempts())
                    .as("requests that cold servers were sent")
                    .isGreaterThan(servers / 4);
            assertThat(result.maxColdLoad())
                    .as("work sent to a cold node, by what it could do")
                    .isLessThan(COLLAPSE_LOAD_MULTIPLE);
            assertThat(result.maxWriteEffects()).isEqualTo(1);
            assertThat(result.unanswered()).isZero();
            assertThat(result.servedFraction()).isGreaterThan(0.6);
        }
    }

    /** The settings' edges: one of each, more zones than servers, a zone with one node, more proxies than servers. */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "1, 1, 4", "3, 5, 4", "100, 4, 4", "1, 200, 1"})
    void answersEverythingOnceAtTheEdgesOfTheSettings(int proxies, int servers, int zones) {
        for (String faults : new String[] {"", "RELEASE", "RELEASE+ZONE_LOST"}) {
            FleetSimulationResult result =
                    run(new FleetSimulationConfig(proxies, servers, zones, 0.5, 12, faults(faults), 1));
            assertThat(result.requests()).isGreaterThan(20);
            assertThat(result.unanswered()).isZero();
            assertThat(result.maxWriteEffects()).isLessThanOrEqualTo(1);
            assertThat(result.maxColdLoad()).isLessThan(COLLAPSE_LOAD_MULTIPLE);
            assertThat(result.servedFraction()).as(faults).isGreaterThan(servers == 1 ? 0.1 : 0.4);
        }
    }

    /** Bounds on what all proxies together spend beyond the first attempt of each request. */
    @Test
    void boundsSumsOfAHundredProxies() {
        FleetSimulationResult calm = run(new FleetSimulationConfig(100, 200, 4, 0.68, 10, Set.of(), 7));
        assertThat(calm.servedFraction()).isGreaterThan(0.85);
        assertThat(calm.hedgedAttempts()).as("second copies").isLessThan(calm.requests() / 10);
        assertThat(calm.attemptsPerRequest()).isLessThan(2);
        assertThat(calm.unreachableAttempts()).isZero();
        FleetSimulationResult lost = run(new FleetSimulationConfig(100, 200, 4, 0.68, 10, Set.of(ZONE_LOST), 7));
        assertThat(lost.unreachableAttempts())
                .as("attempts at 50 silent servers by 100 proxies")
                .isBetween(1, lost.attempts() / 8);
    }

    @Test
    void repeatsResultsOfSameSeedOnly() {
        FleetSimulationConfig config =
                new FleetSimulationConfig(14, 30, 4, 0.6, 10, Set.of(RELEASE, PROXIES_KILLED), 5);
        FleetSimulationResult first = run(config);
        assertThat(run(config)).isEqualTo(first);
        assertThat(run(new FleetSimulationConfig(14, 30, 4, 0.6, 10, Set.of(RELEASE, PROXIES_KILLED), 6)))
                .isNotEqualTo(first);
    }

    @Test
    void rejectsConfigOutOfItsRangesWithTheFigure() {
        assertThatThrownBy(() -> new FleetSimulationConfig(0, 1, 1, 0.5, 1, Set.of(), 1))
                .hasMessageContaining("0 proxies");
        assertThatThrownBy(() -> new FleetSimulationConfig(1, 1, 1, 5, 1, Set.of(), 1))
                .hasMessageContaining("load 5.0");
        assertThatThrownBy(() -> new FleetSimulationConfig(1, 1, 1, Double.NaN, 1, Set.of(HOT_KEY_AT_A_COLD_NODE), 1))
                .hasMessageContaining("NaN");
    }

    private static FleetSimulationResult run(FleetSimulationConfig config) {
        return new FleetSimulation(config, RoutingPolicy::new).run();
    }

    private static Set<SimulatedFault> faults(String names) {
        return Arrays.stream(names.split("\\+"))
                .filter(name -> !name.isEmpty())
                .map(SimulatedFault::valueOf)
                .collect(Collectors.toSet());
    }
}
