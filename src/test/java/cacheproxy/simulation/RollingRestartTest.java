package cacheproxy.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.RoutingPolicy;
import cacheproxy.simulation.FleetSimulationConfig.ClientRetries;
import cacheproxy.simulation.FleetSimulationConfig.RollingRestart;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Servers that restart in groups, as in report 33545e: what all proxies together send those that are warming up. */
class RollingRestartTest {
    private static final int SERVERS = 38;
    private static final int ZONES = 4;
    private static final int GROUP_SIZE = 6;
    private static final double DURATION_SECONDS = 24;

    /** The worst of a few seeds; some cases judge by the mean of what is served as well. */
    @ParameterizedTest
    @CsvSource({
        // proxies, load, groups, silent servers, client retries, at once, collapse multiple, seeds, served at least
        "6, 0.68, 1, 0, 2, false, 3, 5, 0.99",
        "6, 0.68, 3, 0, 2, false, 3, 5, 0.95",
        "6, 0.68, 5, 0, 2, false, 3, 5, 0.771",
        "6, 0.68, 6, 0, 2, false, 3, 5, 0.691",
        "6, 1.0, 6, 0, 2, false, 3, 5, 0.652",
        "6, 0.68, 4, 8, 2, false, 3, 5, 0.798",
        "6, 0.68, 4, 14, 0, false, 3, 5, 0.727",
        "6, 0.68, 4, 14, 2, false, 3, 5, 0.750",
        "6, 0.68, 4, 14, 5, false, 3, 5, 0.771",
        "1, 0.68, 4, 14, 2, false, 3, 5, 0.762",
        "6, 4, 4, 0, 8, true, 3, 5, 0.452",
        "6, 0.68, 4, 0, 2, false, 1.5, 5, 0.866",
        "30, 0.68, 4, 14, 5, false, 3, 2, 0",
        "100, 0.68, 4, 14, 5, false, 3, 2, 0",
        "100, 4, 4, 0, 8, true, 3, 2, 0",
        "6, 0.2, 4, 14, 2, false, 3, 5, 0"
    })
    void overloadsNoServerThatRestartsUnderItsId(
            int proxies,
            double load,
            int groups,
            int silentServers,
            int clientRetries,
            boolean immediateRetries,
            double collapseLoadMultiple,
            int seeds,
            double minServed) {
        double served = LongStream.rangeClosed(1, seeds)
                .mapToObj(seed -> new FleetSimulationConfig(
                        proxies,
                        SERVERS,
                        ZONES,
                        load,
                        DURATION_SECONDS,
                        Set.of(),
                        seed,
                        new ClientRetries(clientRetries, immediateRetries),
                        new RollingRestart(groups, GROUP_SIZE, silentServers),
                        collapseLoadMultiple))
                .mapToDouble(config -> {
                    FleetSimulationResult result = new FleetSimulation(config, RoutingPolicy::new).run();
                    assertThat(result.maxBudgetUse())
                            .as("work sent to a server that was warming up, by its budget, seed %s", config.seed())
                            .isLessThanOrEqualTo(1);
                    assertThat(result.coldAttempts()).isGreaterThan(groups);
                    assertThat(result.unanswered()).isZero();
                    return result.servedFraction();
                })
                .average()
                .orElseThrow();
        assertThat(served).as("served").isGreaterThanOrEqualTo(minServed);
    }

    /** All servers restart at once, and in some cases six in ten proxies shortly before them, with nothing learned. */
    @ParameterizedTest
    @CsvSource({"1, 0.3, false", "6, 0.68, false", "6, 0.68, true", "100, 0.68, false", "100, 0.68, true"})
    void overloadsNoServerOfAFleetThatStartsAsAWhole(int proxies, double load, boolean proxiesKilled) {
        for (int seed = 1; seed <= 3; seed++) {
            FleetSimulationConfig config = new FleetSimulationConfig(
                    proxies,
                    SERVERS,
                    ZONES,
                    load,
                    DURATION_SECONDS,
                    proxiesKilled ? Set.of(SimulatedFault.PROXIES_KILLED) : Set.of(),
                    seed,
                    ClientRetries.DEFAULT,
                    new RollingRestart(1, SERVERS, 0),
                    3);
            FleetSimulationResult result = new FleetSimulation(config, RoutingPolicy::new).run();
            assertThat(result.maxBudgetUse()).as("seed %s", seed).isLessThanOrEqualTo(1);
            assertThat(result.coldAttempts()).isGreaterThan(SERVERS);
            assertThat(result.unanswered()).isZero();
        }
    }
}
