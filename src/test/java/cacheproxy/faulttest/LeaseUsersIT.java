package cacheproxy.faulttest;

import static cacheproxy.faulttest.FaultTestRuns.fault;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What processes do under the program's own leases: health checks of failed servers and the discovery watch, which one
 * proxy does for all.
 */
@Timeout(180)
class LeaseUsersIT {
    private static final String FLEET_CONFIG = """
            extra = '''
            [control]
            listen = "{control}"
            [fleet]
            me = "{me}"
            listen = "{listen}"
            longest_lease_ms = 600
            {peers}
            %s
            '''
            duties = [%s]
            """;
    private static final String HEALTH_CHECK_CONFIG = "[fleet.probe]\nlease_ms = 600\nshares = 2\n";
    private static final String DELEGATED_WATCH_CONFIG =
            "[fleet.watch]\nlease_ms = 600\nbeat_ms = 200\nlazy_ms = 3000\nword_ms = 900\n";

    @TempDir
    private Path folder;

    private FaultTestRunner.Outcome play(String sections, String leases, double seconds, String faults)
            throws Exception {
        String scenario =
                "[fleet]\nprogram = \"run\"\nproxies = 5\nnodes = 4\n" + FLEET_CONFIG.formatted(sections, leases)
                        + "[load]\nseconds = " + seconds + "\nper_second = 200\n" + faults;
        FaultTestRunner.Outcome outcome = FaultTestRuns.playAndAssertInvariants(scenario, folder);
        return outcome;
    }

    /**
     * Counts the requests that a proxy served after a time. A proxy that is cut off from the others gets no reports
     * from them; what it does not know about the servers shows in its own requests.
     */
    private static long countServed(FaultTestRunner.Outcome outcome, String proxy, double fromMs) {
        return outcome.run().events().stream()
                .filter(event -> event.type().equals(Event.RESPONSE_RECEIVED)
                        && event.endpoint().equals(proxy)
                        && event.detail().equals("served")
                        && event.timeMs() > fromMs)
                .count();
    }

    @Test
    void checksStalledServerByOneProxyForAllAndByEachThatIsCutOff() throws Exception {
        FaultTestRunner.Outcome outcome = play(
                HEALTH_CHECK_CONFIG,
                "\"probe.0\", \"probe.1\"",
                13,
                fault("node-stall", 2000, 4500, "n1", "")
                        + fault("node-stall", 8000, 3000, "n2", "")
                        + fault("link", 7500, 5000, "p5", "to = \"proxies\"\nlose = 1"));
        assertThat(outcome.verdict().violationsByChecker().get("one-holder").judged())
                .isGreaterThan(20);
        assertThat(outcome.verdict().violationsByChecker().get("acts-in-order").judged())
                .isGreaterThan(20);
        assertThat(outcome.measurements().healthChecks())
                .as("health checks were sent; how many are saved is measured, not asserted here")
                .isPositive();
        for (int proxy = 1; proxy <= 5; proxy++) {
            assertThat(countServed(outcome, "p" + proxy, 11_500))
                    .as("p" + proxy)
                    .isPositive();
        }
    }

    /**
     * If servers accept no health checks, the client requests of one proxy detect failed servers for all proxies, and a
     * proxy that is cut off detects them with its own.
     */
    @Test
    void checksHealthByClientRequestsWhereServersTakeNoHealthChecks() throws Exception {
        FaultTestRunner.Outcome outcome = play(
                HEALTH_CHECK_CONFIG + "by = \"requests\"\n",
                "\"probe.0\", \"probe.1\"",
                13,
                fault("node-stall", 2000, 4500, "n1", "")
                        + fault("node-stall", 8000, 2500, "n2", "")
                        + fault("link", 7500, 5000, "p5", "to = \"proxies\"\nlose = 1")
                        + fault("kill", 3000, 500, "p1", "")
                        + fault("stop", 4000, 1500, "p2", ""));
        assertThat(outcome.measurements().healthChecks())
                .as("no-op commands at servers")
                .isZero();
        for (int proxy = 1; proxy <= 5; proxy++) {
            String server = "n" + Math.min(proxy, 4);
            assertThat(countServed(outcome, "p" + proxy, 11_500))
                    .as("p" + proxy)
                    .isPositive();
            assertThat(outcome.run().events())
                    .as(server + " gets requests again")
                    .anyMatch(event -> event.type().equals(Event.COMMAND_ARRIVED)
                            && event.endpoint().equals(server)
                            && event.timeMs() > 12_000);
        }
    }

    /**
     * Each proxy, and so the lease holder of each share, is paused or killed in turn while servers are stalled; no
     * server's health check is left unfinished.
     */
    @Test
    void returnsServersToServiceThoughHealthCheckersEnd() throws Exception {
        StringBuilder faults = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            faults.append(fault("node-stall", 1500 + i * 2000, 1200, "n" + (i % 4 + 1), ""))
                    .append(fault(i % 2 == 0 ? "stop" : "kill", 2000 + i * 2000, 900, "p" + (i + 1), ""));
        }
        FaultTestRunner.Outcome outcome = play(HEALTH_CHECK_CONFIG, "\"probe.0\"", 15, faults.toString());
        long activeServers = outcome.run().events().stream()
                .filter(event -> event.type().equals(Event.COMMAND_ARRIVED) && event.timeMs() > 13_500)
                .map(Event::endpoint)
                .distinct()
                .count();
        assertThat(activeServers).as("all servers get requests again").isEqualTo(4);
    }

    @Test
    void watchesDiscoveryByOneProxyForAllAndKeepsDrainsThroughFaults() throws Exception {
        FaultTestRunner.Outcome outcome = play(
                DELEGATED_WATCH_CONFIG,
                "\"watch.a.pages\"",
                14,
                fault("node-drain", 1500, 800, "n1", "")
                        + fault("node-drain", 3500, 1500, "n2", "")
                        + fault("stop", 3400, 2500, "p1", "")
                        + fault("kill", 5000, 300, "p2", "")
                        + fault("term", 6500, 300, "p3", "")
                        + fault("link", 8000, 2500, "p4", "to = \"proxies\"\nlose = 1")
                        + fault("node-drain", 8200, 2000, "n3", "")
                        + fault("link", 10_500, 2000, "p1,p2", "to = \"p3-p5\"\nlose = 1")
                        + fault("node-drain", 10_700, 1500, "n4", ""));
        assertThat(outcome.verdict().violationsByChecker().get("one-holder").judged())
                .isGreaterThan(20);
        assertThat(outcome.measurements().waitingWatches())
                .as("watches that wait at discovery after all faults")
                .isLessThan(5);
    }
}
