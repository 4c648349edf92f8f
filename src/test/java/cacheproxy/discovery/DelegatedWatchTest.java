package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One watches for all, on virtual time, with a discovery whose version grows. */
class DelegatedWatchTest {
    private static final DelegatedWatch.Rules RULES = new DelegatedWatch.Rules(1000, 3000, 30_000, 300);

    private record Mail(double atMs, long n, int from, int to, WatchVersionMessage w) {}

    private static final class World {
        final List<DelegatedWatch> all = new ArrayList<>();
        final boolean[] closely;
        final long[] has;
        /** Whose watch has fallen silent. */
        final boolean[] silent;

        final boolean[] dead;
        final double[] behindSince;
        final PriorityQueue<Mail> mail = new PriorityQueue<>(
                (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.n, b.n));
        final SplittableRandom random = new SplittableRandom(1);
        int holder;
        long epoch = 1;
        long version = 1;
        double now;
        double loss;
        double lateMs = 5;
        long n;
        int calls;
        double longestBehind;

        World(int count) {
            closely = new boolean[count];
            has = new long[count];
            silent = new boolean[count];
            dead = new boolean[count];
            behindSince = new double[count];
            for (int i = 0; i < count; i++) {
                int me = i;
                closely[i] = true;
                behindSince[i] = Double.NaN;
                all.add(new DelegatedWatch(
                        new LeaseHandle() {
                            @Override
                            public long permit(double at, double actMs) {
                                return holder == me ? epoch : -1;
                            }

                            @Override
                            public double remainingMs(double at) {
                                return 0;
                            }

                            @Override
                            public long holder(double at) {
                                return holder + 1;
                            }

                            @Override
                            public List<Long> candidateOrder() {
                                return List.of();
                            }

                            @Override
                            public long id() {
                                return NameHash.of("watch.a.pages");
                            }
                        },
                        RULES,
                        new SplittableRandom(i),
                        new DelegatedWatch.Out() {
                            @Override
                            public void tell(WatchVersionMessage w) {
                                for (int to = 0; to < all.size(); to++) {
                                    if (to != me) {
                                        tell(to + 1, w);
                                    }
                                }
                            }

                            @Override
                            public void tell(long to, WatchVersionMessage w) {
                                if (random.nextDouble() >= loss) {
                                    mail.add(new Mail(
                                            now + random.nextDouble() * lateMs,
                                            n++,
                                            me,
                                            (int) to - 1,
                                            WatchVersionMessage.of(w.bytes())));
                                }
                            }

                            @Override
                            public void closely(boolean on) {
                                closely[me] = on;
                                calls += on ? 1 : 0;
                                if (on) {
                                    learn(me);
                                }
                            }

                            @Override
                            public void ask() {
                                calls++;
                                learn(me);
                            }
                        }));
            }
        }

        void learn(int i) {
            if (has[i] < version) {
                has[i] = version;
                all.get(i).have(now, version);
            }
        }

        void until(double ms) {
            while (now < ms) {
                double next = Math.min(ms, now + 20);
                now = mail.isEmpty() ? next : Math.max(now, Math.min(next, mail.peek().atMs));
                while (!mail.isEmpty() && mail.peek().atMs <= now) {
                    Mail m = mail.poll();
                    if (!dead[m.to]) {
                        all.get(m.to).heard(now, m.from + 1, m.w);
                    }
                }
                for (int i = 0; i < all.size(); i++) {
                    if (dead[i]) {
                        continue;
                    }
                    all.get(i).tick(now);
                    if (closely[i] && !silent[i] && has[i] < version) {
                        calls++;
                        learn(i);
                    }
                    if (has[i] >= version) {
                        behindSince[i] = Double.NaN;
                    } else if (Double.isNaN(behindSince[i])) {
                        behindSince[i] = now;
                    } else {
                        longestBehind = Math.max(longestBehind, now - behindSince[i]);
                    }
                }
            }
        }

        int watching() {
            int n = 0;
            for (boolean c : closely) {
                n += c ? 1 : 0;
            }
            return n;
        }
    }

    @Test
    void oneWatchesAllHearAndManyVersionsMakeFewCalls() {
        World w = new World(50);
        w.until(2000);
        assertThat(w.watching()).isEqualTo(1);
        int before = w.calls;
        for (int i = 0; i < 100; i++) { // a release: a hundred versions within 5 s
            w.version++;
            w.until(w.now + 50);
        }
        w.until(w.now + 1000);
        assertThat(w.has).containsOnly(w.version);
        assertThat(w.longestBehind)
                .as("within the gathering time, and a message")
                .isLessThan(RULES.gatherMs() + 60);
        assertThat(w.calls - before).as("each watching by itself: 5000").isLessThan(100 + 49 * 40);
        before = w.calls;
        w.until(w.now + 60_000);
        assertThat(w.calls - before).as("rare calls of those that do not watch").isBetween(49, 49 * 3);
    }

    @Test
    void whenWordStopsAllWatchThemselvesNotAllAtOnceAndAgainFollowTheNext() {
        World w = new World(20);
        w.until(5000);
        w.dead[0] = true;
        w.holder = -1;
        w.version++;
        w.until(5000 + RULES.wordMs() - RULES.beatMs() - 50);
        assertThat(w.watching()).as("word still counts").isEqualTo(1);
        w.until(5000 + RULES.wordMs());
        assertThat(w.watching()).as("not all at one time").isBetween(2, 19);
        w.until(5000 + 1.5 * RULES.wordMs() + 100);
        assertThat(w.watching()).isEqualTo(20);
        assertThat(w.longestBehind).isLessThan(1.5 * RULES.wordMs() + 60);
        w.holder = 3;
        w.epoch = 2;
        w.until(w.now + 1100);
        w.dead[0] = false;
        w.closely[0] = true;
        w.until(w.now + 1100);
        assertThat(w.watching()).isEqualTo(1);
        assertThat(w.closely[3]).isTrue();
    }

    /** The holder's own watch has fallen silent: another's rare call finds out, tells it, and it tells all. */
    @Test
    void aHolderWhoseWatchIsSilentLearnsOfItFromOthers() {
        World w = new World(10);
        w.until(3000);
        w.silent[0] = true;
        w.version++;
        w.until(3000 + RULES.lazyMs() + 3 * RULES.beatMs());
        assertThat(w.has).containsOnly(w.version);
        assertThat(w.longestBehind).isLessThan(RULES.lazyMs() + 2 * RULES.beatMs());
    }

    @Test
    void lostAndLateWordDelaysNoListBeyondTheBound() {
        for (double late : new double[] {5, 2500}) {
            World w = new World(12);
            w.loss = 0.6;
            w.lateMs = late;
            for (int i = 0; i < 100; i++) {
                w.until(w.now + 1000);
                w.version += i % 5 == 0 ? 1 : 0;
            }
            assertThat(w.longestBehind).as("late by " + late).isLessThan(RULES.lazyMs() + 1000);
            w.loss = 0;
            w.lateMs = 5;
            w.until(w.now + 5000);
            assertThat(w.has).containsOnly(w.version);
            assertThat(w.watching()).isEqualTo(1);
        }
    }

    @Test
    void wordOfAnOlderEpochCountsForNothing() {
        World w = new World(3);
        w.holder = -1;
        DelegatedWatch one = w.all.get(2);
        long duty = NameHash.of("watch.a.pages");
        one.heard(0, 1, new WatchVersionMessage(false, duty, 5, 1, 7));
        assertThat(one.closely(100)).isFalse();
        one.heard(2900, 1, new WatchVersionMessage(false, duty, 4, 2, 7));
        one.heard(2900, 1, new WatchVersionMessage(false, duty, 5, 1, 7)); // the same one again
        one.heard(2900, 1, new WatchVersionMessage(false, duty + 1, 6, 1, 7));
        assertThat(one.closely(1.5 * RULES.wordMs() + 1)).isTrue();
        one.heard(2900, 1, new WatchVersionMessage(false, duty, 5, 2, 7));
        assertThat(one.closely(5000)).isFalse();
    }

    @Test
    void whereDiscoveryCountsAnewTheNextVersionsAreToldAtOnceAllTheSame() {
        World w = new World(5);
        w.version = 1_000_000;
        w.until(3000);
        w.version = 1;
        for (int i = 0; i < 5; i++) { // as each has the whole list anew, with its lower number
            w.has[i] = 1;
            w.all.get(i).have(w.now, 1);
        }
        w.until(w.now + 100);
        int calls = w.calls;
        w.version = 2;
        w.until(w.now + RULES.gatherMs() + 60);
        assertThat(w.has).containsOnly(2);
        assertThat(w.calls - calls).isLessThanOrEqualTo(5);
    }

    @Test
    void wordIsWholeOrNoneAndFiguresThatMakeNoSenseAreRefused() {
        WatchVersionMessage w = new WatchVersionMessage(true, 1, 2, 3, 4);
        assertThat(WatchVersionMessage.of(w.bytes())).isEqualTo(w);
        assertThat(WatchVersionMessage.of(new byte[3])).isNull();
        assertThatThrownBy(() -> new DelegatedWatch.Rules(1000, 900, 30_000, 0))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
