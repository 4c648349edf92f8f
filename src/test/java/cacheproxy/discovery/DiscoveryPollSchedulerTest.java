package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Discovery as it fails, on virtual time: how old the list of who goes by {@link DiscoveryPollScheduler} can be. */
class DiscoveryPollSchedulerTest {
    /** What a call comes to, and when. */
    private record End(double at, boolean sound, boolean silent) {}

    private enum Way {
        REFUSED,
        TURNED_AWAY,
        CUT,
        NEVER_UP,
        SILENT,
        TRICKLES,
        WELL
    }

    /** How callers may go wrong, so that the walk is seen to find it. */
    private enum Plant {
        NONE,
        LONG_WATCH,
        NO_LIMIT,
        LONG_RETRY
    }

    /**
     * One caller over a minute of a discovery that is sound and not by turns, answers within a second when it is, and
     * then still loses calls, though not two in a row. The longest time for which it was sound without an answer that
     * came of it.
     */
    private static double worst(long seed, boolean asked, int callers, Plant plant) {
        SplittableRandom random = new SplittableRandom(seed);
        DiscoveryPollScheduler f = new DiscoveryPollScheduler(asked, callers, random.split());
        double sound = 0;
        double ends = random.nextDouble(20_000);
        boolean up = random.nextBoolean();
        double fresh = 0; // the later of the last sound answer and the beginning of soundness
        double worst = 0;
        boolean heard = false; // whether the last call was answered
        f.follow(0, true);
        for (double now = 0; now < 60_000; ) {
            now = Math.max(now, f.dueAt());
            while (now >= ends) { // soundness and its lack take turns
                worst = up ? Math.max(worst, ends - fresh) : worst;
                up = !up;
                fresh = ends;
                ends += up ? 500 + random.nextDouble(25_000) : random.nextDouble(15_000);
            }
            DiscoveryPollScheduler.Call call = f.begin(now);
            double waits = plant == Plant.LONG_WATCH && call.waitMs() > 1 ? 20_000 : call.waitMs();
            double limit = plant == Plant.NO_LIMIT ? 20_000 : call.limitMs() - call.waitMs() + waits;
            Way way = up ? Way.WELL : Way.values()[random.nextInt(Way.WELL.ordinal())];
            boolean lost = up && heard && random.nextInt(10) == 0;
            End end = switch (lost ? Way.SILENT : way) {
                case REFUSED -> new End(now + 1, false, false);
                case TURNED_AWAY, CUT -> new End(now + random.nextDouble(Math.min(limit, 3000)), false, false);
                case NEVER_UP -> new End(now + Math.min(limit, 1000), false, false);
                case SILENT, TRICKLES -> new End(now + limit, false, true);
                case WELL -> new End(now + Math.min(limit, waits + random.nextDouble(1000)), true, false);
            };
            if (end.sound() && end.at() > ends) { // it went down meanwhile
                end = new End(Math.max(ends, now), false, false);
            }
            now = end.at();
            heard = end.sound();
            if (heard) {
                worst = Math.max(worst, now - fresh);
                fresh = now;
                f.answered(now);
            } else {
                f.failed(now, end.silent());
                if (plant == Plant.LONG_RETRY) {
                    now += 5000;
                }
            }
        }
        return worst;
    }

    private static double[] worsts(int walks, Plant plant) {
        double[] all = new double[walks];
        for (int i = 0; i < walks; i++) {
            all[i] = worst(i, i % 3 != 0, i % 2 == 0 ? 5 : 100, plant);
        }
        Arrays.sort(all);
        return all;
    }

    @Test
    void soundDiscoveryIsHeardWithinTheBoundWhateverWentBefore() {
        double[] all = worsts(20_000, Plant.NONE);
        System.out.printf(
                "list freshness: 20000 walks, ms without a sound answer p50 %.0f, p99 %.0f, max %.0f of %.0f%n",
                all[10_000], all[19_800], all[19_999], DiscoveryPollScheduler.BOUND_MS);
        assertThat(all[19_999]).isLessThanOrEqualTo(DiscoveryPollScheduler.BOUND_MS);
    }

    @Test
    void theWalkFindsFaultsThatArePutIn() {
        for (Plant p : new Plant[] {Plant.LONG_WATCH, Plant.NO_LIMIT, Plant.LONG_RETRY}) {
            double[] all = worsts(500, p);
            assertThat(all[499]).as(p.name()).isGreaterThan(DiscoveryPollScheduler.BOUND_MS);
        }
    }

    @Test
    void aCallThatWaitsAndFallsSilentLeavesTimeForTwoThatAskAtOnce() {
        DiscoveryPollScheduler f = new DiscoveryPollScheduler(true, 100, new SplittableRandom(1));
        f.follow(0, true);
        DiscoveryPollScheduler.Call watch = f.begin(0);
        assertThat(watch.waitMs()).isEqualTo(DiscoveryPollScheduler.WATCH_MS);
        double now = watch.limitMs();
        f.failed(now, true);
        assertThat(f.dueAt()).isEqualTo(now);
        DiscoveryPollScheduler.Call ask = f.begin(now);
        assertThat(ask.waitMs()).isEqualTo(DiscoveryPollScheduler.ASK_MS);
        assertThat(now + ask.limitMs()).isLessThan(DiscoveryPollScheduler.BOUND_MS);
        f.answered(now + 5);
        assertThat(f.begin(now + 5).waitMs()).isEqualTo(DiscoveryPollScheduler.WATCH_MS);
    }

    /** What is given up in discovery's queue only lengthens it. */
    @Test
    void aSlowDiscoveryIsGivenMoreTimeAndNoMoreThanIsBounded() {
        DiscoveryPollScheduler f = new DiscoveryPollScheduler(true, 100, new SplittableRandom(1));
        f.follow(0, true);
        double now = 0;
        for (int i = 0; i < 20; i++) {
            double limit = f.begin(now).limitMs();
            assertThat(limit)
                    .isLessThanOrEqualTo(DiscoveryPollScheduler.WATCH_MS + DiscoveryPollScheduler.MOST_LIMIT_MS);
            now += limit;
            f.failed(now, true);
            assertThat(f.dueAt() - now).isBetween(0.0, DiscoveryPollScheduler.LEAST_RETRY_MS);
            now = f.dueAt();
        }
        assertThat(f.begin(now).limitMs())
                .isEqualTo(DiscoveryPollScheduler.ASK_MS + DiscoveryPollScheduler.MOST_LIMIT_MS);
        f.answered(now + 1800);
        assertThat(f.begin(now + 1800).limitMs())
                .isEqualTo(
                        DiscoveryPollScheduler.WATCH_MS + 2 * (1800 - DiscoveryPollScheduler.ASK_MS),
                        org.assertj.core.api.Assertions.within(1e-6));
    }

    @Test
    void whoIsTurnedAwayWithManyOthersComesBackSpreadOverTime() {
        SplittableRandom random = new SplittableRandom(7);
        double sum = 0;
        for (int i = 0; i < 100; i++) {
            DiscoveryPollScheduler f = new DiscoveryPollScheduler(true, 100, random.split());
            f.follow(0, true);
            double now = 0;
            for (int k = 0; k < 6; k++) {
                f.begin(now);
                f.failed(now, false);
                assertThat(f.dueAt() - now).isBetween(0.0, DiscoveryPollScheduler.MOST_RETRY_MS);
                now = f.dueAt();
            }
            f.begin(now);
            f.failed(now, false);
            sum += f.dueAt() - now;
        }
        assertThat(sum / 100)
                .isBetween(DiscoveryPollScheduler.MOST_RETRY_MS * 0.4, DiscoveryPollScheduler.MOST_RETRY_MS * 0.6);
    }

    @Test
    void whereOthersWatchItCallsOnlyWhenAskedAndUntilAFirstAnswer() {
        DiscoveryPollScheduler f = new DiscoveryPollScheduler(true, 5, new SplittableRandom(1));
        f.closely(0, false);
        f.follow(0, true);
        f.begin(0);
        f.answered(1);
        assertThat(f.dueAt()).isInfinite();
        f.ask(2);
        f.begin(2);
        f.ask(3); // heard while it is out: answered first, then once more
        assertThat(f.out()).isTrue();
        f.answered(4);
        assertThat(f.dueAt()).isEqualTo(4);
        f.begin(4);
        f.answered(5);
        assertThat(f.dueAt()).isInfinite();
        f.closely(6, true);
        assertThat(f.dueAt()).isEqualTo(6);
    }

    @Test
    void aMovedDiscoveryForgetsWhatWasOutAndItsFailures() {
        DiscoveryPollScheduler f = new DiscoveryPollScheduler(true, 100, new SplittableRandom(1));
        f.follow(0, true);
        for (double now = 0, i = 0; i < 8; i++, now = f.dueAt()) {
            f.begin(now);
            f.failed(now, false);
        }
        f.moved(9000);
        assertThat(f.out()).isFalse();
        assertThat(f.failures()).isZero();
        assertThat(f.dueAt()).isEqualTo(9000);
        assertThat(f.begin(9000).limitMs())
                .isEqualTo(DiscoveryPollScheduler.ASK_MS + DiscoveryPollScheduler.LEAST_LIMIT_MS);
    }
}
