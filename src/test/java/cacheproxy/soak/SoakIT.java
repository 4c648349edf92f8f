package cacheproxy.soak;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.soak.SoakHistory.Arrival;
import cacheproxy.soak.SoakHistory.Effect;
import cacheproxy.soak.SoakHistory.Outage;
import cacheproxy.soak.SoakHistory.ProcessExit;
import cacheproxy.soak.SoakHistory.Request;
import cacheproxy.soak.SoakHistory.Shutdown;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The soak test: applies random, overlapping faults to processes of the packaged program and checks the invariants from
 * outside of them. CI runs a short form with fixed seeds. The full form is {@code mvn failsafe:integration-test
 * -Dit.test=SoakIT -Dsoak.first=1 -Dsoak.rounds=40 -Dsoak.proxies=30 -Dsoak.seconds=60}; with
 * {@code -Dsoak.releases=true} groups of servers restart cold under their ids and clients retry at once.
 */
class SoakIT {
    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int ROUNDS = Integer.getInteger("soak.rounds", 2);
    private static final SoakRound.Size SIZE = new SoakRound.Size(
            Integer.getInteger("soak.proxies", 6),
            4,
            8,
            Integer.getInteger("soak.seconds", 10),
            Boolean.getBoolean("soak.releases"));

    @TempDir
    private Path folder;

    @Test
    @Timeout(7200)
    void invariantsHoldUnderOverlappingFaults() throws Exception {
        List<String> all = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + ROUNDS; seed++) {
            try (SoakRound round = new SoakRound(seed, SIZE, folder.resolve("seed-" + seed))) {
                List<String> violations = round.run();
                System.out.printf("soak seed %d: %d violations; %s%n", seed, violations.size(), round.summary());
                for (String violation : violations.subList(0, Math.min(20, violations.size()))) {
                    System.out.println("soak seed " + seed + ": " + violation);
                    round.explain(violation).forEach(line -> System.out.println("    " + line));
                    all.add("seed " + seed + ": " + violation);
                }
            }
        }
        assertThat(all).isEmpty();
    }

    /** Seed 2026 of a long run: a deadline that was passed on did not count a pause of the process. */
    @Test
    @Timeout(120)
    void deadlinesCountPausesInQuickSuccession() throws Exception {
        SoakRound.Size size = new SoakRound.Size(5, 4, 8, 8, false);
        try (SoakRound round = new SoakRound(2026, size, folder.resolve("seed-2026"))) {
            assertThat(round.run()).isEmpty();
        }
    }

    /** Verifies that the judge finds each kind of violation in a history that has it, and none in a correct one. */
    @Test
    void judgeFindsEachKindOfViolation() {
        SoakHistory sound = new SoakHistory();
        Request read = request(sound, "a", Effect.SAFE, 500);
        read.answeredNanos = 100_000_000;
        sound.arrivals.add(new Arrival("a", "s", 10_000_000, 490, false));
        assertThat(SoakJudge.violations(sound, 2000)).isEmpty();

        sound.arrivals.add(new Arrival("a", "origin", 400_000_000, 500, true));
        assertThat(SoakJudge.violations(sound, 2000)).singleElement().asString().startsWith("deadline: a");

        assertThat(SoakJudge.violations(readWithPause(11, 12), 2000)).isEmpty();
        assertThat(SoakJudge.violations(readWithPause(5, 12), 2000)).isEmpty();
        assertThat(SoakJudge.violations(readWithPause(5, 9), 2000))
                .singleElement()
                .asString()
                .startsWith("deadline: f");

        SoakHistory clientGone = new SoakHistory();
        request(clientGone, "b", Effect.SAFE, 900).closedNanos = 50_000_000;
        clientGone.arrivals.add(new Arrival("b", "s", 200_000_000, 600, false));
        assertThat(SoakJudge.violations(clientGone, 2000))
                .singleElement()
                .asString()
                .startsWith("client gone: b");

        SoakHistory twice = new SoakHistory();
        request(twice, "c", Effect.SINGLE, 900).answeredNanos = 300_000_000;
        twice.arrivals.add(new Arrival("c", "origin", 10_000_000, 800, true));
        twice.arrivals.add(new Arrival("c", "origin", 20_000_000, 800, true));
        assertThat(SoakJudge.violations(twice, 2000)).containsExactly("effect twice: c");

        SoakHistory silent = new SoakHistory();
        request(silent, "d", Effect.SAFE, 500);
        assertThat(SoakJudge.violations(silent, 2000))
                .singleElement()
                .asString()
                .startsWith("no answer: d")
                .contains("silence");

        SoakHistory drained = new SoakHistory();
        request(drained, "e", Effect.SAFE, 20_000).answeredNanos = 9_100_000_000L;
        drained.drainedNanos.put("s", 1L);
        drained.arrivals.add(new Arrival("e", "s", 9_000_000_000L, 100, false));
        assertThat(SoakJudge.violations(drained, 2000))
                .singleElement()
                .asString()
                .startsWith("drain: e");
    }

    /** Guards against a judge that ignores requests left unanswered by a process in a planned shutdown. */
    @Test
    void judgeFindsRequestsCutInPlannedShutdown() {
        assertThat(SoakJudge.violations(readCutInPlannedShutdown(900, 1300), 2000))
                .as("received before SIGTERM")
                .singleElement()
                .asString()
                .startsWith("no answer: g by n0 in its planned end, cut");
        assertThat(SoakJudge.violations(readCutInPlannedShutdown(1100, 1200), 2000))
                .as("sent after SIGTERM on a connection that stayed open")
                .singleElement()
                .asString()
                .contains("in its planned end");
        assertThat(SoakJudge.violations(readCutInPlannedShutdown(2500, 2600), 2000))
                .as("unanswered at the kill")
                .singleElement()
                .asString()
                .contains("in its planned end");
        assertThat(SoakJudge.violations(readCutInPlannedShutdown(1100, 1105), 2000))
                .as("closed before the command arrived")
                .isEmpty();
        assertThat(SoakJudge.violations(readCutInPlannedShutdown(2700, 2701), 2000))
                .as("cut by the next process, which was not shutting down")
                .hasSize(1);
        assertThat(SoakJudge.violations(readCutInPlannedShutdown(1100, 0), 2000))
                .as("no answer until the deadline in a planned shutdown")
                .hasSize(1);

        SoakHistory ended = readCutInPlannedShutdown(2700, 2701);
        ended.processExits.add(new ProcessExit(0, 2_600_000_000L));
        assertThat(SoakJudge.violations(ended, 2000))
                .as("sent on a connection of a process that had exited")
                .isEmpty();
        ended.requests.get("g").connectedNanos = 2_650_000_000L;
        assertThat(SoakJudge.violations(ended, 2000))
                .as("sent on a connection of the next process")
                .hasSize(1);
    }

    /**
     * Returns a history with a request that was sent at 10 ms and arrived at a server with its full deadline just after
     * a pause of its proxy, which was requested at {@code fromMs} and in force at {@code inForceMs}.
     */
    private static SoakHistory readWithPause(int fromMs, int inForceMs) {
        SoakHistory history = new SoakHistory();
        Request read = request(history, "f", Effect.SAFE, 500);
        read.sentNanos = 10_000_000;
        read.answeredNanos = 480_000_000;
        history.outages.add(new Outage(0, fromMs * 1_000_000L, inForceMs * 1_000_000L, 410_000_000));
        history.arrivals.add(new Arrival("f", "s", 411_000_000, 499, false));
        return history;
    }

    /**
     * Returns a history with a request that was sent and cut at these times; its process was sent SIGTERM at 1 s and
     * had exited at 2.6 s.
     */
    private static SoakHistory readCutInPlannedShutdown(int sentMs, int cutMs) {
        SoakHistory history = new SoakHistory();
        Request read = request(history, "g", Effect.SAFE, 500);
        read.writeStartNanos = sentMs * 1_000_000L;
        read.sentNanos = sentMs * 1_000_000L;
        read.cutNanos = cutMs * 1_000_000L;
        history.shutdowns.add(new Shutdown(0, 1_000_000_000L, 2_600_000_000L));
        return history;
    }

    private static Request request(SoakHistory history, String id, Effect effect, int deadlineMs) {
        Request request = new Request(id, 0, effect, deadlineMs);
        request.writeStartNanos = 1;
        request.sentNanos = 1;
        history.requests.put(id, request);
        return request;
    }
}
