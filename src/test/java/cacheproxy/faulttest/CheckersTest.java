package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.AtMostOnceChecker;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.CrashChecker;
import cacheproxy.faulttest.check.DrainChecker;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.FencingChecker;
import cacheproxy.faulttest.check.MutualExclusionChecker;
import cacheproxy.faulttest.check.QuotaChecker;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.ServiceStats;
import cacheproxy.faulttest.check.SingleResponseChecker;
import cacheproxy.faulttest.check.SlowStartChecker;
import cacheproxy.faulttest.check.Verdict;
import cacheproxy.faulttest.check.Violations;
import cacheproxy.faulttest.scenario.Scenario;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each checker holds a sound history, finds the fault that is planted in it, and excuses what is to be excused. */
class CheckersTest {
    @TempDir
    private Path folder;

    private final List<Event> events = new ArrayList<>();

    private CheckersTest at(double ms, String who, String what, String id, String detail, double value) {
        events.add(new Event((long) (ms * 1000), 0, who, what, id, detail, value));
        return this;
    }

    /**
     * Three proxies, ten requests each a second, over ten seconds: reads and writes, each served in 5 ms by n1 to n4 in
     * turn.
     */
    private CheckersTest sound() {
        at(0, "p1", Event.STARTED, "", "", 1)
                .at(0, "p2", Event.STARTED, "", "", 1)
                .at(0, "p3", Event.STARTED, "", "", 1);
        for (int i = 0; i < 300; i++) {
            double ms = 10 + i * 33.0;
            String proxy = "p" + (1 + i % 3);
            boolean write = i % 10 == 0;
            at(ms, proxy, Event.ASKED, "r" + i, write ? "keyed" : "read", 1000);
            if (write) {
                at(ms + 4, "origin", Event.EFFECT, "r" + i, "", 0);
            } else {
                at(ms + 2, "n" + (1 + i % 4), Event.ARRIVED, "r" + i, "", 0);
            }
            at(ms + 5, proxy, Event.ANSWERED, "r" + i, "served", 0);
        }
        return this;
    }

    private RunHistory run() throws Exception {
        return new RunHistory(ScenarioReader.parse("s", """
                [fleet]
                proxies = 3
                nodes = 4
                node_per_second = 10
                [load]
                seconds = 10
                [[fault]]
                kind = "link"
                who = "p2"
                to = "discovery"
                lose = 1
                """, null), events);
    }

    private Violations findings(Checker c) throws Exception {
        return c.check(run());
    }

    @Test
    void aSoundHistoryHoldsAndEachCheckerHasLookedAtIt() throws Exception {
        sound();
        Verdict v = Verdict.of(run(), List.of(), Checker.all());
        assertThat(v.held()).as(v.lines().toString()).isTrue();
        assertThat(findings(new SingleResponseChecker()).judged()).isEqualTo(300);
        assertThat(findings(new AtMostOnceChecker()).judged()).isEqualTo(30);
        assertThat(Verdict.of(run(), List.of("slow"), Checker.all()).held())
                .as("in doubt")
                .isFalse();
        ServiceStats s = ServiceStats.of(run(), 0, 1e9);
        assertThat(s.asked()).isEqualTo(300);
        assertThat(s.inTime()).isEqualTo(300);
        assertThat(s.waited()[0]).isEqualTo(5);
        assertThat(s.attemptsEach()).isEqualTo(0.9);
        assertThat(s.idle()).isZero();
    }

    private Violations limit(String limit) throws Exception {
        return new QuotaChecker()
                .check(new RunHistory(
                        ScenarioReader.parse("s", "[fleet]\nproxies = 3\nnodes = 4\n[limit]\n" + limit, null), events));
    }

    /** 27 reads a second, one at a time; then 40 more within 40 ms, of which 10 come a second time to another node. */
    @Test
    void aRateThatIsPassedIsFoundAndARequestThatIsTriedTwiceCountsOnce() throws Exception {
        sound();
        assertThat(limit("per_second = 30\nsaved = 2").count()).isZero();
        assertThat(limit("per_second = 30\nsaved = 2").judged()).isEqualTo(270);
        assertThat(limit("per_second = 20\nsaved = 2").count())
                .as("over ten seconds")
                .isPositive();
        for (int i = 0; i < 40; i++) {
            at(5000 + i, "p1", Event.ASKED, "b" + i, "read", 1000)
                    .at(5001 + i, "n1", Event.ARRIVED, "b" + i, "", 0)
                    .at(5001 + i + (i < 10 ? 0.5 : 0), "n2", Event.ARRIVED, i < 10 ? "b" + i : "", "", 0)
                    .at(5003 + i, "p1", Event.ANSWERED, "b" + i, "served", 0);
        }
        assertThat(limit("per_second = 30\nsaved = 45").count()).isZero();
        assertThat(limit("per_second = 30\nsaved = 30").count())
                .as("in 100 ms and in a second")
                .isEqualTo(2);
        assertThat(limit("kind = \"keyed\"\nper_second = 30").count())
                .as("another kind")
                .isZero();
    }

    /** What the rig noticed late may have come earlier: it says nothing of a short window. */
    @Test
    void whatMayHaveComeEarlierIsNotLaidToTheLimit() throws Exception {
        for (int i = 0; i < 40; i++) {
            at(100 + i, "p1", Event.ASKED, "b" + i, "read", 1000);
            events.add(new Event(5_000_000 + i, 4_000_000, "n1", Event.ARRIVED, "b" + i, "", 0));
        }
        assertThat(limit("per_second = 10\nsaved = 1").count()).isZero();
    }

    @Test
    void tooManyInHandAreFound() throws Exception {
        sound();
        assertThat(limit("at_once = 1").count())
                .as("each is over 5 ms after it began, which may be the answer's way")
                .isZero();
        for (int i = 0; i < 4; i++) {
            at(5000 + i, "p1", Event.ASKED, "h" + i, "read", 1000)
                    .at(5005 + i, "n1", Event.ARRIVED, "h" + i, "", 0)
                    .at(5305 + i, "p1", Event.ANSWERED, "h" + i, "served", 0);
        }
        assertThat(limit("at_once = 4").count()).isZero();
        assertThat(limit("at_once = 3").count()).isEqualTo(1);
    }

    @Test
    void twoAnswersNoAnswerAWrongOneAndALateOneAreFound() throws Exception {
        sound().at(500, "p1", Event.ANSWERED, "r3", "served", 0);
        assertThat(findings(new SingleResponseChecker()).words())
                .singleElement()
                .asString()
                .contains("r3 was answered twice");
        at(700, "p1", Event.ASKED, "x", "read", 1000).at(710, "p1", Event.ANSWERED, "x", "wrong", 0);
        assertThat(findings(new SingleResponseChecker()).count()).isEqualTo(2);
        at(1000, "p1", Event.ASKED, "y", "read", 1000);
        assertThat(findings(new SingleResponseChecker()).words())
                .last()
                .asString()
                .contains("y at p1 never had an answer");
        at(2000, "p1", Event.ASKED, "z", "read", 1000).at(3600, "p1", Event.ANSWERED, "z", "served", 0);
        assertThat(findings(new SingleResponseChecker()).count()).isEqualTo(4);
        at(3000, "p1", Event.ASKED, "u", "read", 1000).at(7000, "p1", Event.LEFT, "u", "", 0);
        assertThat(findings(new SingleResponseChecker()).count()).isEqualTo(5);
        at(3000, "p1", Event.ASKED, "v", "read", 1000).at(3100, "p1", Event.GONE, "v", "", 0);
        assertThat(findings(new SingleResponseChecker()).count()).isEqualTo(6);
    }

    @Test
    void whatAKilledOrStoppedProcessCouldNotDoIsExcusedAndNothingElse() throws Exception {
        sound().at(1000, "p1", Event.ASKED, "killed", "read", 1000)
                .at(1100, "p1", Event.KILLED, "", "", 0)
                .at(1101, "p1", Event.GONE, "killed", "", 0)
                .at(1102, "p1", Event.ENDED, "", "", 137)
                .at(3000, "p1", Event.READY, "", "", 0);
        at(5000, "p2", Event.STOPPED, "", "", 0)
                .at(5010, "p2", Event.ASKED, "stopped", "read", 1000)
                .at(9000, "p2", Event.CONTINUED, "", "", 0)
                .at(9005, "p2", Event.ANSWERED, "stopped", "failed", 0);
        assertThat(findings(new SingleResponseChecker()).words()).isEmpty();
        // The other proxy was neither.
        at(5010, "p3", Event.ASKED, "other", "read", 1000).at(9005, "p3", Event.ANSWERED, "other", "failed", 0);
        assertThat(findings(new SingleResponseChecker()).words())
                .singleElement()
                .asString()
                .contains("other at p3");
    }

    @Test
    void aPlannedEndMayCrossARequestThatWasNotCarriedOn() throws Exception {
        sound().at(1000, "p1", Event.TERMED, "", "", 0)
                .at(1300, "p1", Event.ASKED, "c", "read", 1000)
                .at(1301, "p1", Event.GONE, "c", "", 0)
                .at(1302, "p2", Event.ASKED, "c", "read", 1000)
                .at(1310, "p2", Event.ANSWERED, "c", "served", 0)
                .at(2500, "p1", Event.ENDED, "", "", 143);
        assertThat(findings(new SingleResponseChecker()).words()).isEmpty();
        at(1400, "p1", Event.ASKED, "d", "read", 1000)
                .at(1402, "n1", Event.ARRIVED, "d", "", 0)
                .at(1404, "p1", Event.GONE, "d", "", 0);
        assertThat(findings(new SingleResponseChecker()).words())
                .singleElement()
                .asString()
                .contains("d at p1 lost its connection");
    }

    @Test
    void whatAPlannedEndHadTakenAndCutOffIsFoundAlsoAtTheProcessesOwnEnd() throws Exception {
        sound().at(1000, "p1", Event.TERMED, "", "", 0)
                .at(990, "p1", Event.ASKED, "w", "keyed", 1000)
                .at(995, "origin", Event.EFFECT, "w", "", 0)
                .at(1500, "p1", Event.GONE, "w", "", 0)
                .at(1501, "p1", Event.ENDED, "", "", 143)
                .at(4000, "p1", Event.READY, "", "", 0);
        assertThat(findings(new SingleResponseChecker()).words())
                .singleElement()
                .asString()
                .contains("w at p1 lost its connection");
        at(985, "p1", Event.ASKED, "never", "read", 1000);
        assertThat(findings(new SingleResponseChecker()).words())
                .last()
                .asString()
                .contains("never at p1 never had an answer");
        at(980, "p1", Event.ASKED, "late", "read", 1000).at(3500, "p1", Event.ANSWERED, "late", "served", 0);
        assertThat(findings(new SingleResponseChecker()).count()).isEqualTo(3);
    }

    @Test
    void aSecondEffectAndADoneThatHadNoneAreFoundWhateverBefell() throws Exception {
        sound().at(90, "p1", Event.KILLED, "", "", 0).at(9000, "origin", Event.EFFECT, "r10", "", 0);
        assertThat(findings(new AtMostOnceChecker()).words())
                .singleElement()
                .asString()
                .contains("r10 took effect again");
        at(900, "p2", Event.ASKED, "w", "unsafe", 1000).at(905, "p2", Event.ANSWERED, "w", "served", 0);
        assertThat(findings(new AtMostOnceChecker()).words())
                .last()
                .asString()
                .contains("w was answered as done and had no effect");
    }

    @Test
    void aSendToADrainingNodeBehindTheGraceIsFoundUnlessNobodyCouldTellTheProxy() throws Exception {
        sound();
        events.removeIf(e -> e.who().equals("n4") && e.us() > 3_000_000);
        at(3000, "n4", Event.DRAINING, "", "", 0);
        at(4500, "p1", Event.ASKED, "early", "read", 1000)
                .at(4501, "n4", Event.ARRIVED, "early", "", 0)
                .at(4502, "p1", Event.ANSWERED, "early", "served", 0);
        assertThat(findings(new DrainChecker()).count()).isZero();
        at(5100, "p1", Event.ASKED, "late", "read", 1000).at(5101, "n4", Event.ARRIVED, "late", "", 0);
        assertThat(findings(new DrainChecker()).words())
                .singleElement()
                .asString()
                .contains("p1 sent late to n4");
        at(2900, "rig", Event.FAULT, "0", "link", 0).at(6000, "rig", Event.HEALED, "0", "", 0);
        at(5100, "p2", Event.ASKED, "cut", "read", 1000).at(5101, "n4", Event.ARRIVED, "cut", "", 0);
        at(8000, "p2", Event.ASKED, "told", "read", 1000).at(8001, "n4", Event.ARRIVED, "told", "", 0);
        assertThat(findings(new DrainChecker()).count())
                .as("p2 was cut off from discovery")
                .isEqualTo(1);
        at(14_100, "p2", Event.ASKED, "must know", "read", 1000).at(14_101, "n4", Event.ARRIVED, "must know", "", 0);
        assertThat(findings(new DrainChecker()).words()).last().asString().contains("p2 sent must know");
    }

    @Test
    void whatAllSendAColdNodeTogetherIsHeldAgainstWhatItCanDo() throws Exception {
        // 10 a second when warm, 3 a second when it has just started: 4.5 in the fall time, so 13 are too much and 12
        // not.
        at(1000, "n1", Event.BORN, "", "", 0);
        for (int i = 0; i < 13; i++) {
            at(1010 + i, "n1", Event.ARRIVED, "r" + i, "", 0);
        }
        SlowStartChecker c = new SlowStartChecker();
        assertThat(findings(c).count()).isZero();
        assertThat(c.worst()).isBetween(2.8, 3.0);
        at(1030, "n1", Event.ARRIVED, "r13", "", 0);
        assertThat(findings(c).words()).singleElement().asString().contains("n1 was sent 14 commands");
        events.removeIf(e -> e.what().equals(Event.BORN));
        assertThat(findings(c).judged()).as("a warm node's").isZero();
    }

    @Test
    void anOlderEpochAfterANewerOneAndOneEpochAtTwoAreFound() throws Exception {
        at(1000, "p1", Event.DUTY, "d", "yes", 5)
                .at(1500, "p1", Event.DUTY, "d", "no", 0)
                .at(2000, "p2", Event.DUTY, "d", "yes", 6);
        // Asked at 1900, answered at 2100: it may have been before the other's.
        events.add(new Event(2_100_000, 200_000, "p1", Event.DUTY, "d", "yes", 5));
        assertThat(findings(new MutualExclusionChecker()).words()).isEmpty();
        assertThat(MutualExclusionChecker.gaps(run(), "d", 600, 0, 3000)).hasSize(3);
        assertThat(MutualExclusionChecker.moves(run(), "d")).isEqualTo(2);
        at(2500, "p3", Event.DUTY, "d", "yes", 6);
        assertThat(findings(new MutualExclusionChecker()).words())
                .singleElement()
                .asString()
                .contains("p2 and p3 hold d under one epoch");
        at(2600, "p1", Event.DUTY, "d", "yes", 5);
        assertThat(findings(new MutualExclusionChecker()).words())
                .last()
                .asString()
                .contains("p1 holds d under epoch 5 after p2");
    }

    @Test
    void anActOfAnOlderEpochThatWasTakenIsFoundAndARefusedOneIsCounted() throws Exception {
        at(1000, "p1", Event.ACT, "d", "accepted", 5)
                .at(1500, "p2", Event.ACT, "d", "accepted", 6)
                .at(1600, "p2", Event.ACT, "e", "accepted", 1)
                .at(1700, "p1", Event.ACT, "d", "refused", 5);
        assertThat(findings(new FencingChecker()).words()).isEmpty();
        assertThat(findings(new FencingChecker()).judged()).isEqualTo(3);
        assertThat(FencingChecker.refused(run())).isEqualTo(1);
        at(1800, "p1", Event.ACT, "d", "accepted", 5); // as a store without a guard would
        assertThat(findings(new FencingChecker()).words())
                .singleElement()
                .asString()
                .contains("p1 under d, epoch 5, was taken after one of p2 under epoch 6");
    }

    @Test
    void takeoversAreCountedFromTheFaultToTheNextGrant() throws Exception {
        Scenario s = ScenarioReader.parse("s", """
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
        assertThat(s.faults()).extracting(f -> f.atMs()).containsExactly(0.0, 5000.0);
        assertThat(ScenarioReader.parse("s", s.toToml(), null)).isEqualTo(s);
        at(900, "p1", Event.DUTY, "d", "yes", 5)
                .at(1000, "rig", Event.FAULT, "0", "stop p1", 0)
                .at(1010, "p1", Event.DUTY, "d", "yes", 5)
                .at(1800, "p2", Event.DUTY, "d", "yes", 6)
                .at(6000, "rig", Event.FAULT, "1", "stop p2", 0)
                .at(6500, "p2", Event.DUTY, "d", "yes", 6);
        assertThat(MutualExclusionChecker.takeovers(new RunHistory(s, events)))
                .hasSize(1)
                .containsEntry("stop", new double[] {800});
    }

    @Test
    void commandsToNodesThatStandStillAreCounted() throws Exception {
        at(100, "rig", Event.FAULT, "0", "node-stall n1,n2", 0)
                .at(200, "n1", Event.ARRIVED, "r1", "", 0)
                .at(250, "n3", Event.ARRIVED, "r2", "", 0)
                .at(300, "rig", Event.HEALED, "0", "", 0)
                .at(400, "n2", Event.ARRIVED, "r3", "", 0);
        assertThat(ServiceStats.sentToSick(run())).isEqualTo(1);
    }

    @Test
    void anEndThatNobodyOrderedIsACrash() throws Exception {
        sound().at(5000, "p1", Event.TERMED, "", "", 0)
                .at(5500, "p1", Event.ENDED, "", "", 143)
                .at(6000, "p1", Event.STARTED, "", "", 2);
        assertThat(findings(new CrashChecker()).count()).isZero();
        at(7000, "p1", Event.ENDED, "", "", 1);
        assertThat(findings(new CrashChecker()).words())
                .singleElement()
                .asString()
                .contains("p1 ended by itself, exit code 1");
    }

    @Test
    void aHistoryIsReadBackAndALineThatIsNoneIsToldWithItsPlace() throws Exception {
        Path file = folder.resolve("history.jsonl");
        try (History h = new History(file, run().scenario())) {
            h.add(7, "p1", Event.SAID, "", "a \"line\"\twith\u00e4", 1.5);
            h.add(0, "p2", Event.ASKED, "r1", "read", 1000);
            h.finish();
            assertThat(h.dropped()).isZero();
        }
        RunHistory back = History.read(file);
        assertThat(back.scenario()).isEqualTo(run().scenario());
        assertThat(back.events()).hasSize(2);
        Event said = back.events().get(0);
        assertThat(said.detail()).isEqualTo("a \"line\"\twith\u00e4");
        assertThat(said.offUs()).isEqualTo(7);
        assertThat(said.value()).isEqualTo(1.5);
        assertThat(said.earliest()).isEqualTo(said.us() - 7);
        Files.writeString(file, Files.readString(file) + "{\"us\":");
        org.assertj.core.api.Assertions.assertThatThrownBy(() -> History.read(file))
                .hasMessageContaining("history.jsonl:4:1");
        Files.writeString(file, "{\"us\":1,\"who\":\"p1\"}\n");
        org.assertj.core.api.Assertions.assertThatThrownBy(() -> History.read(file))
                .hasMessageContaining("no scenario");
    }
}
