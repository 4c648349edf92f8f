package cacheproxy.siblings;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.siblings.PendingQueries.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The decisions about siblings, against plain restatements and in a simulation with lost answers and lies. */
class SiblingsTest {
    // ---- the digest

    /** Against a map that forgets nothing but what it must: the digest may forget more, and may never say more. */
    @Test
    void theDigestSaysNothingThatAMapWouldNotSay() {
        SplittableRandom random = new SplittableRandom(1);
        CacheDigest digest = new CacheDigest(1024, 5000, 20);
        Map<Long, double[]> map = new HashMap<>(); // server, time
        double now = 1.7e12;
        int held = 0;
        int asked = 0;
        for (int i = 0; i < 200_000; i++) {
            now += random.nextDouble() * 20;
            long key = random.nextInt(800) * 0x1234567L;
            int server = random.nextInt(20);
            switch (random.nextInt(10)) {
                case 0 -> {
                    digest.gone(key);
                    map.remove(key);
                }
                case 1 -> {
                    if (random.nextInt(50) == 0) {
                        digest.restarted(server);
                        map.values().removeIf(e -> e[0] == server);
                    }
                }
                case 2, 3, 4, 5 -> {
                    digest.answered(now, key, server);
                    map.put(key, new double[] {server, now});
                }
                default -> {
                    double[] e = map.get(key);
                    boolean should = e != null && now - e[1] <= 5000 - 100;
                    asked += should ? 1 : 0;
                    if (digest.holds(now, key)) {
                        assertThat(e).isNotNull();
                        assertThat(now - e[1]).isLessThanOrEqualTo(5000 + 100);
                        assertThat(digest.server(key)).isEqualTo((int) e[0]);
                        held += should ? 1 : 0;
                    }
                }
            }
        }
        assertThat(held).as("and it says nearly all of it").isGreaterThan(asked * 9 / 10);
    }

    @Test
    void theDigestHasItsBoundAndTheOldestMakesRoom() {
        CacheDigest digest = new CacheDigest(8, 1e6, 2);
        for (int i = 1; i <= 20; i++) {
            digest.answered(i * 1000, i, 7);
        }
        int held = 0;
        for (int i = 1; i <= 20; i++) {
            held += digest.holds(20_000, i) ? 1 : 0;
            assertThat(digest.holds(20_000, i)).isEqualTo(i > 12);
        }
        assertThat(held).isEqualTo(8);
        digest.answered(1, 99, 8);
        digest.answered(1, 98, 9); // no slot for a third server
        assertThat(digest.holds(1, 98)).isFalse();
        digest.clear();
        assertThat(digest.holds(20_000, 20)).isFalse();
    }

    /** The epoch of a server has 16 bits; after that many restarts an old entry must not come to life. */
    @Test
    void anEntryStaysGoneHoweverOftenItsServerRestarts() {
        CacheDigest digest = new CacheDigest(8, 1e6, 1);
        digest.answered(0, 1, 7);
        for (int i = 0; i < 70_000; i++) {
            digest.restarted(7);
            assertThat(digest.holds(0, 1)).isFalse();
        }
        digest.answered(0, 1, 7);
        assertThat(digest.holds(0, 1)).isTrue();
    }

    // ---- questions

    @Test
    void onlyTheAnswerToAQuestionCounts() {
        PendingQueries<String> t = new PendingQueries<>(3, 1000, -2);
        PendingQueries<String>.Question q = t.ask(0, "k", List.of("a", "b"), 50);
        PendingQueries<String>.Question wrapped = t.ask(0, "l", List.of("a"), 50);
        assertThat(wrapped.number).as("numbers go round").isEqualTo(0);
        assertThat(t.answered(1, q.number + 5, "a", "k", true).verdict())
                .as("never given")
                .isEqualTo(Verdict.NO_QUESTION);
        assertThat(t.answered(1, q.number, "c", "k", true).verdict()).isEqualTo(Verdict.NOT_ASKED);
        assertThat(t.answered(1, q.number, "a", "other", true).verdict()).isEqualTo(Verdict.OTHER_KEY);
        assertThat(t.answered(2, q.number, "a", "k", false).verdict()).isEqualTo(Verdict.COUNTED);
        assertThat(t.answered(2, q.number, "a", "k", true).verdict()).isEqualTo(Verdict.DOUBLE);
        assertThat(q.isOver()).isFalse();
        assertThat(t.answered(3, q.number, "b", null, true)).satisfies(r -> {
            assertThat(r.verdict()).isEqualTo(Verdict.FIRST_HIT);
            assertThat(r.elapsedMs()).isEqualTo(3);
        });
        assertThat(q.isOver()).isTrue();
        assertThat(t.answered(3, wrapped.number, "a", "l", false).verdict()).isEqualTo(Verdict.LAST);
        PendingQueries<String>.Question late = t.ask(10, "m", List.of("a"), 50);
        assertThat(t.answered(500, late.number, "a", "m", true)).satisfies(r -> {
            assertThat(r.verdict()).isEqualTo(Verdict.LATE);
            assertThat(r.elapsedMs()).as("measured all the same").isEqualTo(490);
        });
        assertThat(t.answered(5000, late.number, "a", "m", true).verdict()).isEqualTo(Verdict.NO_QUESTION);
        assertThat(t.count(Verdict.NO_QUESTION)).isEqualTo(2);
    }

    @Test
    void thereAreNoMoreQuestionsThanTheBoundAndOldOnesMakeRoom() {
        PendingQueries<String> t = new PendingQueries<>(100, 1000, 5);
        for (int i = 0; i < 100; i++) {
            assertThat(t.ask(i, "k" + i, List.of("a"), 50)).isNotNull();
        }
        assertThat(t.ask(100, "k", List.of("a"), 50)).isNull();
        assertThat(t.ask(1151, "k", List.of("a"), 50)).isNotNull();
        assertThat(t.size()).isLessThan(60);
    }

    // ---- denials and replays

    @Test
    void whoIsNearlyAlwaysDeniedHearsNothingAnyMoreUntilHeReforms() {
        DenialLimiter<String> watch = new DenialLimiter<>(10);
        int answered = 0;
        for (int i = 0; i < 1000; i++) {
            answered += watch.answer("bad", true) ? 1 : 0;
        }
        assertThat(answered).isEqualTo(DenialLimiter.LEAST_QUESTIONS - 1);
        for (int i = 0; i < 60; i++) {
            assertThat(watch.answer("bad", false))
                    .as("what is not denied is answered")
                    .isTrue();
        }
        assertThat(watch.answer("bad", true)).as("under the share again").isTrue();
        for (int i = 0; i < 1000; i++) {
            watch.answer("forged" + i, true);
        }
        assertThat(watch.answer("bad", true)).as("forgotten, bounded").isTrue();
    }

    @Test
    void aSignatureCountsOnceAndAFullGuardLetsNothingIn() {
        ReplayGuard guard = new ReplayGuard(3, 60);
        assertThat(guard.take(100, new byte[] {1}, 130)).isTrue();
        assertThat(guard.take(130, new byte[] {1}, 130))
                .as("replayed at its last second")
                .isFalse();
        assertThat(guard.take(100, new byte[] {2}, 161))
                .as("holds for too long")
                .isFalse();
        assertThat(guard.take(100, new byte[] {2}, 99)).as("expired").isFalse();
        assertThat(guard.take(100, new byte[] {2}, 160)).isTrue();
        assertThat(guard.take(100, new byte[] {3}, 140)).isTrue();
        assertThat(guard.take(100, new byte[] {4}, 140)).as("full").isFalse();
        assertThat(guard.take(100, new byte[] {1}, 130)).isFalse();
        assertThat(guard.take(131, new byte[] {4}, 140)).as("room again").isTrue();
    }

    // ---- whether to ask

    /**
     * What a policy makes of requests that miss, in a model of an origin and its siblings; the mean time to a value, in
     * ms.
     */
    private static double[] run(
            long seed,
            boolean asks,
            double fetchMs,
            double siblingMs,
            double hitShare,
            double lost,
            double lies,
            double rttMs,
            double leftMs,
            double pressure) {
        SplittableRandom random = new SplittableRandom(seed);
        SplittableRandom chance = new SplittableRandom(seed + 1);
        List<SiblingStats> records = List.of(new SiblingStats(), new SiblingStats(), new SiblingStats());
        double time = 0;
        int inTime = 0;
        int fetches = 0;
        int questions = 0;
        double now = 0;
        int n = 20_000;
        for (int i = 0; i < n; i++) {
            now += 5;
            SiblingQueryPolicy.Plan plan = asks
                    ? SiblingQueryPolicy.plan(now, records, fetchMs, siblingMs, leftMs, pressure, chance.nextDouble())
                    : SiblingQueryPolicy.Plan.NONE;
            double[] rolls = random.doubles(12).toArray();
            double took = 0;
            int from = -1;
            double first = plan.waitMs();
            for (int s : plan.siblings()) {
                questions++;
                records.get(s).asked(now);
                double rtt = rttMs * (0.5 + rolls[s]);
                if (rolls[3 + s] < lost) {
                    continue;
                }
                boolean hit = rolls[6 + s] < hitShare;
                records.get(s).answered(rtt, hit);
                if (hit && rtt < first) {
                    first = rtt;
                    from = s;
                }
            }
            took += plan.siblings().isEmpty() ? 0 : first;
            boolean got = from >= 0 && rolls[9] >= lies;
            if (from >= 0) {
                took += siblingMs;
                records.get(from).fetched(got);
            }
            if (!got) {
                fetches++;
                took += fetchMs * (0.5 + rolls[10]) * (rolls[11] * pressure < 1 ? 1 : 3);
            }
            time += took;
            inTime += took <= leftMs ? 1 : 0;
        }
        return new double[] {time / n, inTime / (double) n, fetches, questions};
    }

    /**
     * Half of all answers lost, liars, slow siblings, a quick origin, a jammed one: asking is never worse by more than
     * what trials cost.
     */
    @ParameterizedTest
    @CsvSource({
        "100, 5, 0.5, 0, 0, 2, 250, 1, true",
        "100, 5, 0.5, 0.5, 0, 2, 250, 1, true",
        "100, 5, 0.5, 0.5, 0.3, 2, 250, 3, true",
        "100, 5, 0.5, 0, 1, 2, 250, 1, false",
        "100, 5, 0.01, 0, 0, 20, 250, 1, false",
        "4, 5, 0.5, 0, 0, 2, 250, 1, false",
        "100, 5, 0.5, 1, 0, 2, 250, 1, false",
        "100, 5, 0.5, 0, 0, 400, 250, 1, false",
        "150, 5, 0.5, 0.5, 0, 10, 200, 5, true",
        "100, 5, 0, 0, 0, 2, 250, 20, false"
    })
    void askingPaysOrIsNotDone(
            double fetchMs,
            double siblingMs,
            double hitShare,
            double lost,
            double lies,
            double rttMs,
            double leftMs,
            double pressure,
            boolean pays) {
        double[] with = run(4, true, fetchMs, siblingMs, hitShare, lost, lies, rttMs, leftMs, pressure);
        double[] without = run(4, false, fetchMs, siblingMs, hitShare, lost, lies, rttMs, leftMs, pressure);
        assertThat(with[1]).as("in time").isGreaterThanOrEqualTo(without[1] - 0.01);
        if (pays) {
            assertThat(with[0]).as("time").isLessThan(without[0] * 0.8);
            assertThat(with[2]).as("fetches at the origin").isLessThan(without[2] * 0.7);
        } else {
            assertThat(with[0]).as("time").isLessThan(without[0] * 1.05);
            assertThat(with[3]).as("questions, of 60,000").isLessThan(6_000);
        }
    }

    @Test
    void aSiblingThatIsSilentOrLiesIsOnlyTriedAndComesBack() {
        for (boolean lies : new boolean[] {true, false}) {
            SiblingStats r = new SiblingStats();
            double now = 0;
            for (int i = 0; i < 300; i++) {
                now += 1;
                r.asked(now);
                if (lies) {
                    r.answered(2, true);
                    r.fetched(false);
                }
            }
            assertThat(r.mayAsk(now)).isFalse();
            assertThat(r.mayAsk(now + SiblingStats.TRIAL_MS)).isTrue();
            int trials = 0;
            for (; !r.mayAsk(now + 1) || trials == 0; trials++) {
                now += SiblingStats.TRIAL_MS;
                r.asked(now);
                r.answered(2, true);
                r.fetched(true);
                assertThat(trials).isLessThan(200);
            }
            assertThat(r.answers()).isPositive();
        }
    }

    @Test
    void theWaitFollowsTheAnswersAndHasItsCap() {
        SiblingStats quick = new SiblingStats();
        SiblingStats slow = new SiblingStats();
        for (int i = 0; i < 100; i++) {
            quick.asked(i);
            quick.answered(2, true);
            quick.fetched(true);
            slow.asked(i);
            slow.answered(80, true);
            slow.fetched(true);
        }
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick), 100, 5, 250, 1, 1)
                        .waitMs())
                .isBetween(2.0, 4.0);
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick, slow), 500, 5, 250, 1, 1)
                        .waitMs())
                .isEqualTo(250 * SiblingQueryPolicy.WAIT_SHARE);
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick), 100, 5, 6, 1, 1))
                .as("too late for a sibling's value")
                .isEqualTo(SiblingQueryPolicy.Plan.NONE);
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick), 100, 5, 0, 1, 1))
                .isEqualTo(SiblingQueryPolicy.Plan.NONE);
        assertThat(SiblingQueryPolicy.plan(100, List.of(), 100, 5, 250, 1, 1)).isEqualTo(SiblingQueryPolicy.Plan.NONE);
        List<SiblingStats> many = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            many.add(quick);
        }
        assertThat(SiblingQueryPolicy.plan(100, many, 100, 5, 250, 1, 1).siblings())
                .hasSize(SiblingQueryPolicy.MOST_ASKED);
    }
}
