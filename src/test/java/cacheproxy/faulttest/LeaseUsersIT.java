package cacheproxy.faulttest;

import static cacheproxy.faulttest.FaultTestRuns.fault;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What processes do under the program's own duties: trials of sick nodes and the watch of discovery, made by one for
 * all.
 */
@Timeout(180)
class LeaseUsersIT {
    private static final String FLEET = """
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
    private static final String PROBE = "[fleet.probe]\nlease_ms = 600\nshares = 2\n";
    private static final String WATCH = "[fleet.watch]\nlease_ms = 600\nbeat_ms = 200\nlazy_ms = 3000\nword_ms = 900\n";

    @TempDir
    private Path folder;

    private FaultTestRunner.Outcome play(String sections, String duties, double seconds, String faults)
            throws Exception {
        String s = "[fleet]\nprogram = \"run\"\nproxies = 5\nnodes = 4\n" + FLEET.formatted(sections, duties)
                + "[load]\nseconds = " + seconds + "\nper_second = 200\n" + faults;
        FaultTestRunner.Outcome o = FaultTestRuns.held(s, folder);
        return o;
    }

    /** A proxy that is told nothing any more: whatever it does not know of the nodes shows by its own requests. */
    private static long served(FaultTestRunner.Outcome o, String proxy, double fromMs) {
        return o.run().events().stream()
                .filter(e -> e.type().equals(Event.RESPONSE_RECEIVED)
                        && e.endpoint().equals(proxy)
                        && e.detail().equals("served")
                        && e.timeMs() > fromMs)
                .count();
    }

    @Test
    void aNodeThatStandsStillIsTriedByOneForAllAndByEachThatIsCutOff() throws Exception {
        FaultTestRunner.Outcome o = play(
                PROBE,
                "\"probe.0\", \"probe.1\"",
                13,
                fault("node-stall", 2000, 4500, "n1", "")
                        + fault("node-stall", 8000, 3000, "n2", "")
                        + fault("link", 7500, 5000, "p5", "to = \"proxies\"\nlose = 1"));
        assertThat(o.verdict().violationsByChecker().get("one-holder").judged()).isGreaterThan(20);
        assertThat(o.verdict().violationsByChecker().get("acts-in-order").judged())
                .isGreaterThan(20);
        assertThat(o.tests())
                .as("tests came at all; how many are saved is measured, not tested here")
                .isPositive();
        for (int p = 1; p <= 5; p++) {
            assertThat(served(o, "p" + p, 11_500)).as("p" + p).isPositive();
        }
    }

    /** Where nodes take no tests one proxy's clients find out for all, and whoever is cut off finds out by its own. */
    @Test
    void clientsRequestsAreTheTrialsWhereNodesTakeNoTests() throws Exception {
        FaultTestRunner.Outcome o = play(
                PROBE + "by = \"requests\"\n",
                "\"probe.0\", \"probe.1\"",
                13,
                fault("node-stall", 2000, 4500, "n1", "")
                        + fault("node-stall", 8000, 2500, "n2", "")
                        + fault("link", 7500, 5000, "p5", "to = \"proxies\"\nlose = 1")
                        + fault("kill", 3000, 500, "p1", "")
                        + fault("stop", 4000, 1500, "p2", ""));
        assertThat(o.tests()).as("empty commands at nodes").isZero();
        for (int p = 1; p <= 5; p++) {
            String who = "n" + Math.min(p, 4);
            assertThat(served(o, "p" + p, 11_500)).as("p" + p).isPositive();
            assertThat(o.run().events())
                    .as(who + " gets requests again")
                    .anyMatch(e -> e.type().equals(Event.COMMAND_ARRIVED)
                            && e.endpoint().equals(who)
                            && e.timeMs() > 12_000);
        }
    }

    /**
     * The holder of each share is stopped, killed, ended in turn while nodes are sick; nobody's test is left without an
     * end.
     */
    @Test
    void holdersThatEndInTheMidstOfTrialsKeepNoNodeOut() throws Exception {
        StringBuilder faults = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            faults.append(fault("node-stall", 1500 + i * 2000, 1200, "n" + (i % 4 + 1), ""))
                    .append(fault(i % 2 == 0 ? "stop" : "kill", 2000 + i * 2000, 900, "p" + (i + 1), ""));
        }
        FaultTestRunner.Outcome o = play(PROBE, "\"probe.0\"", 15, faults.toString());
        long late = o.run().events().stream()
                .filter(e -> e.type().equals(Event.COMMAND_ARRIVED) && e.timeMs() > 13_500)
                .map(Event::endpoint)
                .distinct()
                .count();
        assertThat(late).as("all nodes get requests again").isEqualTo(4);
    }

    @Test
    void oneWatchesDiscoveryForAllAndDrainsAreKeptWhateverBecomesOfIt() throws Exception {
        FaultTestRunner.Outcome o = play(
                WATCH,
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
        assertThat(o.verdict().violationsByChecker().get("one-holder").judged()).isGreaterThan(20);
        assertThat(o.watches())
                .as("calls that wait at discovery once all is calm")
                .isLessThan(5);
    }
}
