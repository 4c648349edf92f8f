package cacheproxy.faulttest;

import static cacheproxy.faulttest.FaultTestRuns.fault;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What processes know of the fleet when notifications of discovery are lost: connections stay open without transferring
 * anything, and there is no other fault.
 */
@Timeout(180)
class KnownStateIT {
    @TempDir
    private Path folder;

    /**
     * Every watch loses the notifications of both drains, so that no proxy has a newer version to report to the others;
     * servers stay up, so that none rejects requests. One proxy is paused meanwhile. One proxy is killed, but only at
     * the end, as it calls discovery when it starts and reports the result to the others.
     */
    @Test
    void keepsDrainsThatOpenWatchesDidNotReport() throws Exception {
        FaultTestRunner.Outcome outcome = FaultTestRuns.playAndAssertInvariants(
                "[fleet]\nproxies = 5\nnodes = 5\n[load]\nseconds = 15\nper_second = 200\n"
                        + fault("link", 1500, 1200, "proxies", "to = \"discovery\"\nlose = 1")
                        + fault("node-drain", 1900, 12_500, "n1", "")
                        + fault("node-drain", 2200, 12_000, "n2", "") + fault("stop", 3000, 1500, "p2", "")
                        + fault("kill", 13_000, 300, "p3", ""),
                folder);
        assertThat(outcome.verdict().violationsByChecker().get("drains-kept").judged())
                .as("commands to draining servers that were judged")
                .isPositive();
        long activeServers = outcome.run().events().stream()
                .filter(event -> event.type().equals(Event.COMMAND_ARRIVED)
                        && event.timeMs() > 11_000
                        && event.timeMs() < 14_000)
                .map(Event::endpoint)
                .distinct()
                .count();
        assertThat(activeServers)
                .as("servers that get requests near the end: those that are not draining")
                .isEqualTo(3);
    }
}
