package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.FencingChecker;
import cacheproxy.faulttest.check.LeaseStats;
import cacheproxy.faulttest.check.MutualExclusionChecker;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.scenario.Scenario;
import org.junit.jupiter.api.Test;

/** The checkers of mutual exclusion and fencing, and the lease statistics. */
class LeaseCheckersTest {
    private final HistoryFixture history = new HistoryFixture();

    @Test
    void findsOlderEpochAfterNewerAndTwoHoldersOfOneEpoch() throws Exception {
        history.at(1000, "p1", Event.LEASE_POLLED, "d", "yes", 5)
                .at(1500, "p1", Event.LEASE_POLLED, "d", "no", 0)
                .at(2000, "p2", Event.LEASE_POLLED, "d", "yes", 6);
        // Polled at 1900 ms with the response at 2100 ms: p1 can have held the lease before p2 did.
        history.events.add(new Event(2_100_000, 200_000, "p1", Event.LEASE_POLLED, "d", "yes", 5));
        assertThat(history.violations(new MutualExclusionChecker()).messages()).isEmpty();
        assertThat(LeaseStats.gapsWithoutHolder(history.run(), "d", 600, 0, 3000))
                .hasSize(3);
        assertThat(LeaseStats.countTenures(history.run(), "d")).isEqualTo(2);
        history.at(2500, "p3", Event.LEASE_POLLED, "d", "yes", 6);
        assertThat(history.violations(new MutualExclusionChecker()).messages())
                .singleElement()
                .asString()
                .contains("p2 and p3 hold d under one epoch");
        history.at(2600, "p1", Event.LEASE_POLLED, "d", "yes", 5);
        assertThat(history.violations(new MutualExclusionChecker()).messages())
                .last()
                .asString()
                .contains("p1 holds d under epoch 5 after p2");
    }

    @Test
    void findsAcceptedActionOfOlderEpochAndCountsRejectedOnes() throws Exception {
        history.at(1000, "p1", Event.LEADER_ACTION, "d", "accepted", 5)
                .at(1500, "p2", Event.LEADER_ACTION, "d", "accepted", 6)
                .at(1600, "p2", Event.LEADER_ACTION, "e", "accepted", 1)
                .at(1700, "p1", Event.LEADER_ACTION, "d", "refused", 5);
        assertThat(history.violations(new FencingChecker()).messages()).isEmpty();
        assertThat(history.violations(new FencingChecker()).judged()).isEqualTo(3);
        assertThat(LeaseStats.countRejectedActions(history.run())).isEqualTo(1);
        // A store that does not check fencing tokens would accept this action.
        history.at(1800, "p1", Event.LEADER_ACTION, "d", "accepted", 5);
        assertThat(history.violations(new FencingChecker()).messages())
                .singleElement()
                .asString()
                .contains("p1 under d, epoch 5, was taken after one of p2 under epoch 6");
    }

    @Test
    void measuresTakeoverFromFaultToNextEpoch() throws Exception {
        Scenario scenario = ScenarioReader.parse("s", """
                [fleet]
                proxies = 3
                nodes = 1
                duties = ["d"]
                [[fault]]
                kind = "stop"
                holder_of = "d"
                for_ms = 500
                times = 2
                every_ms = 5000
                """, null);
        assertThat(scenario.faults()).extracting(fault -> fault.atMs()).containsExactly(0.0, 5000.0);
        assertThat(ScenarioReader.parse("s", scenario.toToml(), null)).isEqualTo(scenario);
        history.at(900, "p1", Event.LEASE_POLLED, "d", "yes", 5)
                .at(1000, "rig", Event.FAULT_STARTED, "0", "stop p1", 0)
                .at(1010, "p1", Event.LEASE_POLLED, "d", "yes", 5)
                .at(1800, "p2", Event.LEASE_POLLED, "d", "yes", 6)
                .at(6000, "rig", Event.FAULT_STARTED, "1", "stop p2", 0)
                .at(6500, "p2", Event.LEASE_POLLED, "d", "yes", 6);
        assertThat(LeaseStats.takeoverTimesMs(new RunHistory(scenario, history.events)))
                .hasSize(1)
                .containsEntry("stop", new double[] {800});
    }
}
