package cacheproxy.faulttest;

import static cacheproxy.faulttest.FaultTestRuns.fault;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What processes know of the fleet when discovery's word is lost: connections stay open and silent, and nothing else is
 * wrong.
 */
@Timeout(180)
class KnownStateIT {
    @TempDir
    private Path folder;

    /**
     * Every watch loses the word of both drains, so that no proxy has a version to tell the others; nodes stay up, so
     * that none refuses. One proxy stands still meanwhile. One is killed only at the end: as it starts it asks, and
     * tells the others.
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
                .as("sends to draining nodes that were looked at")
                .isPositive();
        long activeServers = outcome.run().events().stream()
                .filter(event -> event.type().equals(Event.COMMAND_ARRIVED)
                        && event.timeMs() > 11_000
                        && event.timeMs() < 14_000)
                .map(Event::endpoint)
                .distinct()
                .count();
        assertThat(activeServers)
                .as("nodes that are sent to in the end: those that do not drain")
                .isEqualTo(3);
    }
}
