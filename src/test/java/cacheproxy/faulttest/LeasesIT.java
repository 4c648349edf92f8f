package cacheproxy.faulttest;

import static cacheproxy.faulttest.FaultTestRuns.fault;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.LeaseStats;
import cacheproxy.faulttest.check.RunHistory;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Leases of several processes of the daemon under pauses, cuts, partitions, losses, restarts and handovers. */
@Timeout(180)
class LeasesIT {
    static final String LEASE_SCENARIO_LINES = """
            extra = '''
            [control]
            listen = "{control}"
            [fleet]
            me = "{me}"
            listen = "{listen}"
            longest_lease_ms = 600
            {peers}
            [[duty]]
            name = "cron"
            lease_ms = 600
            '''
            duties = ["cron"]
            """;

    @TempDir
    private Path folder;

    private FaultTestRunner.Outcome play(int proxies, double seconds, String faults) throws Exception {
        String scenario = "[fleet]\nprogram = \"run\"\nproxies = " + proxies + "\nnodes = 3\n" + LEASE_SCENARIO_LINES
                + "[load]\nseconds = " + seconds + "\nper_second = 40\n" + faults;
        FaultTestRunner.Outcome outcome = FaultTestRuns.playAndAssertInvariants(scenario, folder);
        assertThat(outcome.verdict().violationsByChecker().get("one-holder").judged())
                .isGreaterThan(20);
        return outcome;
    }

    /**
     * Returns whether a proxy held the lease after a time. How soon is measured, not asserted here; the simulation
     * tests on virtual time check that bound.
     */
    private static boolean wasHeldAfter(RunHistory run, double ms) {
        return run.events().stream()
                .anyMatch(event -> event.type().equals(Event.LEASE_POLLED)
                        && event.detail().equals("yes")
                        && event.timeMs() > ms);
    }

    private static double lastFaultEndMs(RunHistory run) {
        return run.events().stream()
                .filter(event -> event.type().equals(Event.FAULT_ENDED))
                .mapToDouble(Event::timeMs)
                .max()
                .orElseThrow();
    }

    private static List<String> logLinesContaining(RunHistory run, String part) {
        return run.events().stream()
                .filter(event ->
                        event.type().equals(Event.LOG_LINE) && event.detail().contains(part))
                .map(event -> event.endpoint() + " " + event.detail())
                .toList();
    }

    @Test
    void handsOverLeaseAtGracefulShutdown() throws Exception {
        // Each proxy is terminated in turn, so the holder is among them. Before the next one is terminated, all proxies
        // are ready and vote again.
        FaultTestRunner.Outcome outcome = play(
                3,
                11.5,
                fault("term", 2500, 300, "p1", "")
                        + fault("term", 5500, 300, "p2", "")
                        + fault("term", 8500, 300, "p3", ""));
        assertThat(logLinesContaining(outcome.run(), "why=this process ends"))
                .as("the holder was among them")
                .isNotEmpty();
        assertThat(LeaseStats.countTenures(outcome.run(), "cron")).isGreaterThan(1);
        assertThat(wasHeldAfter(outcome.run(), lastFaultEndMs(outcome.run()))).isTrue();
    }

    @Test
    void keepsOneHolderAndSoonHasOneAgainThroughPausesCutsSplitsAndLosses() throws Exception {
        FaultTestRunner.Outcome outcome = play(
                5,
                14,
                fault("stop", 2000, 1500, "p1", "")
                        + fault("stop", 2000, 2500, "p2", "")
                        + fault("link", 5000, 1500, "p3", "to = \"proxies\"\nlose = 1\ntwo_way = false")
                        + fault("link", 6500, 1500, "p4", "to = \"proxies\"\nlose = 1")
                        + fault("link", 8500, 2000, "p1,p2", "to = \"p3-p5\"\nlose = 1")
                        + fault(
                                "link",
                                10500,
                                1500,
                                "proxies",
                                "to = \"proxies\"\nlose = 0.3\ntwice = 0.5\njitter_ms = 150\ndelay_ms = 50\ncorrupt = 0.1"));
        assertThat(wasHeldAfter(outcome.run(), lastFaultEndMs(outcome.run()))).isTrue();
        assertThat(outcome.run().events())
                .anyMatch(event ->
                        event.type().equals(Event.LOG_LINE) && event.detail().contains("duty cron gained epoch="));
    }

    @Test
    void keepsOneHolderThroughThreeWaySplitHeavyLossLateDuplicatesAndFlappingVoter() throws Exception {
        StringBuilder restarts = new StringBuilder();
        for (int at = 9000; at < 13_000; at += 1000) {
            // Killed again before its silent period after the restart is over.
            restarts.append(fault("kill", at, 100, "p2", ""));
        }
        FaultTestRunner.Outcome outcome = play(
                5,
                14,
                fault("link", 2000, 1500, "p1,p2", "to = \"p3-p5\"\nlose = 1")
                        + fault("link", 2000, 1500, "p5", "to = \"p3,p4\"\nlose = 1")
                        + fault("link", 4000, 2000, "proxies", "to = \"proxies\"\nlose = 0.6")
                        + fault(
                                "link",
                                6500,
                                2000,
                                "proxies",
                                "to = \"proxies\"\ntwice = 1\ndelay_ms = 1800\njitter_ms = 400")
                        + fault("slow", 9000, 3000, "p4", "share = 0.1")
                        + restarts);
        assertThat(LeaseStats.countTenures(outcome.run(), "cron")).isGreaterThan(1);
        assertThat(wasHeldAfter(outcome.run(), 13_000))
                .as("after the last fault")
                .isTrue();
    }

    @Test
    void agreesOnLaterEpochAfterAllVotersWereKilledWithinSecond() throws Exception {
        FaultTestRunner.Outcome outcome = play(3, 9, fault("kill", 2500, 100, "p1,p2,p3", "stagger_ms = 150"));
        assertThat(LeaseStats.countTenures(outcome.run(), "cron")).isGreaterThan(1);
    }

    /**
     * p1 has the configuration of an older release, without the new sections and with a peer list that lacks one peer;
     * each side of the partition has its own discovery.
     */
    @Test
    void keepsOneHolderAndReportsOldReleaseDifferentPeerListsSplitAndHolderWithoutServers() throws Exception {
        String section = """
                [control]
                listen = "{control}"
                [fleet]
                me = "{me}"
                listen = "{listen}"
                longest_lease_ms = 600
                %s
                [[duty]]
                name = "cron"
                lease_ms = 600
                %s""";
        String scenario =
                "[fleet]\nprogram = \"run\"\nproxies = 5\nnodes = 4\nzones = [\"a\", \"b\"]\nrelay_nodes = true\n"
                        + "own_discovery = true\nduties = [\"cron\"]\nold = \"p1\"\nold_extra = \'\'\'\n"
                        + section.formatted("{peers-but-last}", "")
                        + "\'\'\'\nextra = \'\'\'\n"
                        + section.formatted(
                                "{peers}",
                                "[fleet.probe]\nlease_ms = 600\n[fleet.watch]\nlease_ms = 600\nbeat_ms = 200\n")
                        + "\'\'\'\n[load]\nseconds = 15\nper_second = 100\n"
                        + fault("link", 2000, 2500, "p1,p3,p5", "to = \"p2,p4\"\nlose = 1")
                        + fault("link", 5000, 8000, "p3", "holder_of = \"cron\"\nto = \"nodes\"\nlose = 1")
                        + fault("link", 9500, 1500, "p4,p5", "to = \"discovery\"\nlose = 1");
        FaultTestRunner.Outcome outcome = FaultTestRuns.playAndAssertInvariants(scenario, folder);
        assertThat(outcome.verdict().violationsByChecker().get("one-holder").judged())
                .isGreaterThan(20);
        assertThat(wasHeldAfter(outcome.run(), lastFaultEndMs(outcome.run()))).isTrue();
        assertThat(logLinesContaining(outcome.run(), "fleet: p1 goes by another list of peers"))
                .isNotEmpty();
        assertThat(logLinesContaining(outcome.run(), "why=it reaches no server, and others do"))
                .as("the holder, which reaches peers and no servers")
                .isNotEmpty();
    }
}
