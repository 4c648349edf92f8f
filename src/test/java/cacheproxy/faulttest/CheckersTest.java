package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.faulttest.check.AtMostOnceChecker;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.CrashChecker;
import cacheproxy.faulttest.check.DrainChecker;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.ServiceStats;
import cacheproxy.faulttest.check.SingleResponseChecker;
import cacheproxy.faulttest.check.SlowStartChecker;
import cacheproxy.faulttest.check.Verdict;
import cacheproxy.faulttest.scenario.Scenario;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each checker accepts a valid history, finds a violation that is added to it, and excuses what faults explain. */
class CheckersTest {
    private final HistoryFixture history = new HistoryFixture();

    @Test
    void acceptsValidHistoryAndCountsWhatWasJudged() throws Exception {
        history.addValidRequests();
        Verdict verdict = Verdict.of(history.run(), List.of(), Checker.all());
        assertThat(verdict.passed()).as(verdict.lines().toString()).isTrue();
        assertThat(history.violations(new SingleResponseChecker()).judged()).isEqualTo(300);
        assertThat(history.violations(new AtMostOnceChecker()).judged()).isEqualTo(30);
        assertThat(Verdict.of(history.run(), List.of("slow"), Checker.all()).passed())
                .as("a run that is not valid")
                .isFalse();
        ServiceStats stats = ServiceStats.of(history.run(), 0, 1e9);
        assertThat(stats.requests()).isEqualTo(300);
        assertThat(stats.withinDeadline()).isEqualTo(300);
        assertThat(stats.medianMs()).isEqualTo(5);
        assertThat(stats.attemptsPerRequest()).isEqualTo(0.9);
        assertThat(stats.idleServers()).isZero();
    }

    @Test
    void findsWriteAppliedTwiceAndServedWriteThatWasNotApplied() throws Exception {
        history.addValidRequests()
                .at(90, "p1", Event.PROCESS_KILLED, "", "", 0)
                .at(9000, "origin", Event.WRITE_APPLIED, "r10", "", 0);
        assertThat(history.violations(new AtMostOnceChecker()).messages())
                .singleElement()
                .asString()
                .contains("r10 took effect again");
        history.at(900, "p2", Event.REQUEST_SENT, "w", "unsafe", 1000)
                .at(905, "p2", Event.RESPONSE_RECEIVED, "w", "served", 0);
        assertThat(history.violations(new AtMostOnceChecker()).messages())
                .last()
                .asString()
                .contains("w was answered as done and had no effect");
    }

    @Test
    void findsRequestToDrainingServerAfterGracePeriodUnlessProxyCouldNotBeNotified() throws Exception {
        history.addValidRequests();
        history.events.removeIf(event -> event.endpoint().equals("n4") && event.timeUs() > 3_000_000);
        history.at(3000, "n4", Event.SERVER_DRAINING, "", "", 0);
        history.at(4500, "p1", Event.REQUEST_SENT, "early", "read", 1000)
                .at(4501, "n4", Event.COMMAND_ARRIVED, "early", "", 0)
                .at(4502, "p1", Event.RESPONSE_RECEIVED, "early", "served", 0);
        assertThat(history.violations(new DrainChecker()).count()).isZero();
        history.at(5100, "p1", Event.REQUEST_SENT, "late", "read", 1000)
                .at(5101, "n4", Event.COMMAND_ARRIVED, "late", "", 0);
        assertThat(history.violations(new DrainChecker()).messages())
                .singleElement()
                .asString()
                .contains("p1 sent late to n4");
        history.at(2900, "rig", Event.FAULT_STARTED, "0", "link", 0).at(6000, "rig", Event.FAULT_ENDED, "0", "", 0);
        history.at(5100, "p2", Event.REQUEST_SENT, "cut", "read", 1000)
                .at(5101, "n4", Event.COMMAND_ARRIVED, "cut", "", 0);
        history.at(8000, "p2", Event.REQUEST_SENT, "told", "read", 1000)
                .at(8001, "n4", Event.COMMAND_ARRIVED, "told", "", 0);
        assertThat(history.violations(new DrainChecker()).count())
                .as("p2 was cut off from discovery")
                .isEqualTo(1);
        history.at(14_100, "p2", Event.REQUEST_SENT, "must know", "read", 1000)
                .at(14_101, "n4", Event.COMMAND_ARRIVED, "must know", "", 0);
        assertThat(history.violations(new DrainChecker()).messages())
                .last()
                .asString()
                .contains("p2 sent must know");
    }

    @Test
    void findsMoreCommandsThanColdServerCanTake() throws Exception {
        // The capacity is 10 commands a second when warm and 3 a second just after the start, so 4.5 in a window of 1.5
        // s. The limit is 3 times that, 13.5 commands: 13 are allowed and 14 are a violation.
        history.at(1000, "n1", Event.SERVER_STARTED, "", "", 0);
        for (int i = 0; i < 13; i++) {
            history.at(1010 + i, "n1", Event.COMMAND_ARRIVED, "r" + i, "", 0);
        }
        SlowStartChecker checker = new SlowStartChecker();
        assertThat(history.violations(checker).count()).isZero();
        assertThat(checker.worstRatio()).isBetween(2.8, 3.0);
        history.at(1030, "n1", Event.COMMAND_ARRIVED, "r13", "", 0);
        assertThat(history.violations(checker).messages())
                .singleElement()
                .asString()
                .contains("n1 was sent 14 commands");
        history.events.removeIf(event -> event.type().equals(Event.SERVER_STARTED));
        assertThat(history.violations(checker).judged())
                .as("commands to a warm server")
                .isZero();
    }

    /** 4 commands a second just after the start, twice that allowed, in a window of 2 s: 16 are allowed. */
    @Test
    void judgesColdServersByTheFiguresOfTheScenario() throws Exception {
        history.at(1000, "n1", Event.SERVER_STARTED, "", "", 0);
        for (int i = 0; i < 17; i++) {
            history.at(1010 + i, "n1", Event.COMMAND_ARRIVED, "r" + i, "", 0);
        }
        Scenario scenario = ScenarioReader.parse("s", """
                [fleet]
                proxies = 3
                nodes = 4
                node_per_second = 10
                [slow_start]
                start_capacity = 0.4
                warm_up_ms = 6000
                multiple = 2
                window_ms = 2000
                """, null);
        RunHistory run = new RunHistory(scenario, history.events);
        assertThat(new SlowStartChecker().check(run).messages())
                .singleElement()
                .asString()
                .contains("n1 was sent 17 commands in 2000 ms, 2.1");
        history.events.remove(history.events.size() - 1);
        assertThat(new SlowStartChecker()
                        .check(new RunHistory(scenario, history.events))
                        .count())
                .isZero();
    }

    @Test
    void failsARunThatIsAboutSomethingThatWasNotJudged() throws Exception {
        history.addValidRequests();
        String text = "[fleet]\nproxies = 3\nnodes = 4\nmust_judge = [\"cold-sum\"]\n";
        RunHistory run = new RunHistory(ScenarioReader.parse("s", text, null), history.events);
        Verdict verdict = Verdict.of(run, List.of(), Checker.all());
        assertThat(verdict.passed()).isFalse();
        assertThat(verdict.lines()).contains("nothing judged: cold-sum").last().isEqualTo("NOTHING JUDGED");
        assertThatThrownBy(() -> ScenarioReader.parse("s", text.replace("cold-sum", "warmth"), null))
                .hasMessageContaining("must_judge names invariants");
    }

    @Test
    void countsCommandsSentToStalledServers() throws Exception {
        history.at(100, "rig", Event.FAULT_STARTED, "0", "node-stall n1,n2", 0)
                .at(200, "n1", Event.COMMAND_ARRIVED, "r1", "", 0)
                .at(250, "n3", Event.COMMAND_ARRIVED, "r2", "", 0)
                .at(300, "rig", Event.FAULT_ENDED, "0", "", 0)
                .at(400, "n2", Event.COMMAND_ARRIVED, "r3", "", 0);
        assertThat(ServiceStats.countSentToStalledServers(history.run())).isEqualTo(1);
    }

    @Test
    void findsExitThatWasNotRequested() throws Exception {
        history.addValidRequests()
                .at(5000, "p1", Event.PROCESS_TERMINATING, "", "", 0)
                .at(5500, "p1", Event.PROCESS_EXITED, "", "", 143)
                .at(6000, "p1", Event.PROCESS_STARTED, "", "", 2);
        assertThat(history.violations(new CrashChecker()).count()).isZero();
        history.at(7000, "p1", Event.PROCESS_EXITED, "", "", 1);
        assertThat(history.violations(new CrashChecker()).messages())
                .singleElement()
                .asString()
                .contains("p1 ended by itself, exit code 1");
    }
}
