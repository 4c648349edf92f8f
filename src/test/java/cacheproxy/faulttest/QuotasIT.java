package cacheproxy.faulttest;

import static cacheproxy.faulttest.FaultTestRuns.fault;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A fleet-wide quota, shared by processes of the daemon and checked at the servers, under kills, pauses, cuts,
 * partitions, losses and load that is concentrated at one proxy.
 */
@Timeout(180)
class QuotasIT {
    @TempDir
    private Path folder;

    private FaultTestRunner.Outcome play(String fleet, String quota, String load, String checkedQuota, String faults)
            throws Exception {
        String scenario = "[fleet]\nprogram = \"run\"\nproxies = 4\nnodes = 3\n" + fleet
                + "extra = '''\n[control]\nlisten = \"{control}\"\n"
                + "[fleet]\nme = \"{me}\"\nlisten = \"{listen}\"\nlongest_lease_ms = 600\n{peers}\n[fleet.limits]\ngrant_ms = 600\nlease_ms = 600\nshares = 1\n"
                + "[[fleet.limit]]\nname = \"reads\"\nclass = \"read\"\n" + quota + "'''\n[load]\n" + load + "[limit]\n"
                + checkedQuota + faults;
        FaultTestRunner.Outcome outcome = FaultTestRuns.playAndAssertInvariants(scenario, folder);
        assertThat(outcome.verdict().violationsByChecker().get("limit-kept").judged())
                .as(String.join("\n", outcome.lines()))
                .isGreaterThan(100);
        return outcome;
    }

    /**
     * The allocator is killed and paused, proxies are cut off, the fleet is partitioned, and datagrams are lost,
     * duplicated and delayed, while the load moves from one proxy to the next.
     */
    @Test
    void keepsRateThroughFaultsOfAllocatorsAndLinks() throws Exception {
        FaultTestRunner.Outcome outcome = play(
                "duties = [\"limits.0\"]\n",
                "per_second = 100\nburst = 10\n",
                "seconds = 15.5\nper_second = 300\nwrites = 0\nskew = 0.5\nturn_ms = 1000\n",
                "per_second = 100\nsaved = 14\n",
                fault("kill", 3000, 300, "p1", "holder_of = \"limits.0\"")
                        + fault("stop", 5500, 1500, "p1", "holder_of = \"limits.0\"")
                        + fault("link", 7200, 3000, "p3", "to = \"proxies\"\nlose = 1")
                        + fault("link", 10_500, 1500, "p1,p2", "to = \"p3,p4\"\nlose = 1")
                        + fault(
                                "link",
                                12_500,
                                2500,
                                "proxies",
                                "to = \"proxies\"\nlose = 0.3\ntwice = 0.5\ndelay_ms = 50\njitter_ms = 400")
                        + fault("term", 13_000, 300, "p2", ""));
        assertThat(outcome.run().events())
                .as("a proxy that is cut off and has load logs that it is alone")
                .anyMatch(event ->
                        event.type().equals(Event.LOG_LINE) && event.detail().contains("limit reads alone"));
        assertThat(outcome.serviceStats().rejected()).isPositive();
    }

    /**
     * Only the lease holder allocates quota: a proxy that is cut off rejects requests, and the quota is not exceeded
     * when another proxy holds the lease.
     */
    @Test
    void keepsRateWithoutStaticSharesWhenAllocatorsChange() throws Exception {
        FaultTestRunner.Outcome outcome = play(
                "duties = [\"limits.0\"]\n",
                "per_second = 100\nburst = 10\nwhen_alone = \"none\"\n",
                "seconds = 12\nper_second = 250\nwrites = 0\n",
                "per_second = 100\nsaved = 14\n",
                fault("stop", 3000, 2500, "p1", "holder_of = \"limits.0\"")
                        + fault("kill", 6500, 300, "p1", "holder_of = \"limits.0\"")
                        + fault("link", 9000, 1500, "p4", "to = \"proxies\"\nlose = 1"));
        assertThat(outcome.serviceStats().rejected()).isPositive();
    }

    @Test
    void keepsConcurrencyThroughFaultsOfProxies() throws Exception {
        play(
                "node_per_second = 12\nnode_room = 100\n",
                "at_once = 8\n",
                "seconds = 10.5\nper_second = 200\nwrites = 0\nskew = 1\nturn_ms = 2000\ndeadline_ms = 800\n",
                "at_once = 8\n",
                fault("kill", 3500, 300, "p1", "")
                        + fault("stop", 5500, 1500, "p2", "")
                        + fault("link", 8000, 2000, "p3", "to = \"proxies\"\nlose = 1"));
    }
}
