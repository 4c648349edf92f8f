package cacheproxy.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fleet.membership.SwimMessage.Kind;
import cacheproxy.fleet.membership.SwimMessage.News;
import cacheproxy.fleet.membership.SwimMessage.Standing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Who is there, by real detectors on virtual time with links that lose and processes that stand still, die and come
 * back.
 */
class SwimMembershipTest {
    private record Mail(double atMs, long n, int from, int to, byte[] m) {}

    private static final class World {
        final List<SwimMembership> all = new ArrayList<>();
        final PriorityQueue<Mail> mail = new PriorityQueue<>(
                (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.n, b.n));
        final SplittableRandom random;
        final List<Long> ids = new ArrayList<>();
        final double[] due;
        final Set<Integer> gone = new HashSet<>();
        final Set<Integer> still = new HashSet<>();
        final Set<Integer> cut = new HashSet<>();
        double lost;
        double now;
        long sent;

        World(int n, long seed) {
            random = new SplittableRandom(seed);
            due = new double[n];
            for (int i = 0; i < n; i++) {
                ids.add(i + 1L);
            }
            for (int i = 0; i < n; i++) {
                all.add(null);
                born(i);
            }
        }

        void born(int i) {
            gone.remove(i);
            SwimMembership m = new SwimMembership(
                    i + 1, SwimTiming.USUAL, random.split(), now, (to, x) -> send(i, (int) to - 1, x));
            m.use(ids, now);
            all.set(i, m);
            due[i] = now;
        }

        void send(int from, int to, SwimMessage m) {
            sent++;
            assertThat(m.bytes().length).isLessThanOrEqualTo(213);
            if (!gone.contains(from) && random.nextDouble() >= lost && !cut.contains(from) && !cut.contains(to)) {
                mail.add(new Mail(now + 0.2 + 2 * random.nextDouble(), sent, from, to, m.bytes()));
            }
        }

        void until(double ms) {
            while (now < ms) {
                now += 5;
                while (!mail.isEmpty() && mail.peek().atMs <= now) {
                    Mail m = mail.poll();
                    if (still.contains(m.to)) {
                        mail.add(new Mail(now + 5, m.n, m.from, m.to, m.m)); // it lies in its socket
                    } else if (!gone.contains(m.to)) {
                        all.get(m.to).heard(now, m.from + 1, SwimMessage.of(m.m));
                    }
                }
                for (int i = 0; i < due.length; i++) {
                    if (now >= due[i] && !gone.contains(i) && !still.contains(i)) {
                        due[i] = all.get(i).tick(now);
                    }
                }
            }
        }

        long say(int about, Standing s) {
            return ids.stream()
                    .filter(i ->
                            i != about + 1 && !gone.contains(i.intValue() - 1) && !still.contains(i.intValue() - 1))
                    .filter(i -> all.get(i.intValue() - 1).standing(about + 1) == s)
                    .count();
        }
    }

    @Test
    void inCalmNobodyIsSuspectedAndEachAsksOneAPeriod() {
        World w = new World(50, 1);
        w.until(60_000);
        for (int i = 0; i < 50; i++) {
            assertThat(w.say(i, Standing.ALIVE)).isEqualTo(49);
        }
        assertThat(w.sent / 60.0 / 50).as("messages a second each").isLessThan(4.5);
    }

    @Test
    void whoDiesIsCalledDeadByAllAndWhoComesBackIsThere() {
        for (int n : new int[] {2, 3, 8, 60}) {
            World w = new World(n, n);
            w.until(5000);
            w.gone.add(0);
            // Where few can say anything a proxy doubts itself as well, and waits up to eight times as long.
            double longest = n < 4 ? 90_000 : 40_000;
            w.until(5000 + longest);
            assertThat(w.say(0, Standing.DEAD)).as("of " + n).isEqualTo(n - 1);
            w.born(0);
            w.until(5000 + 2 * longest);
            assertThat(w.say(0, Standing.ALIVE)).as("of " + n).isEqualTo(n - 1);
        }
    }

    @Test
    void whoIsSuspectedWronglySaysThatItIsThere() {
        World w = new World(8, 4);
        w.until(3000);
        w.all.get(1).heard(w.now, 3, new SwimMessage(Kind.NACK, 0, 0, List.of(new News(1, Standing.SUSPECT, 0))));
        assertThat(w.all.get(1).standing(1)).isEqualTo(Standing.SUSPECT);
        w.until(12_000);
        assertThat(w.say(0, Standing.ALIVE)).isEqualTo(7);
        assertThat(w.say(0, Standing.DEAD)).isZero();
    }

    /** One that stood still is dead to the others and blames nobody when it goes on. */
    @Test
    void aProcessThatStoodStillDoubtsItselfFirst() {
        World w = new World(12, 9);
        w.until(4000);
        w.still.add(3);
        w.until(44_000);
        assertThat(w.say(3, Standing.DEAD)).isEqualTo(11);
        w.still.remove(3);
        w.until(44_100);
        assertThat(w.all.get(3).ill()).isPositive();
        w.until(80_000);
        for (int i = 0; i < 12; i++) {
            assertThat(w.say(i, Standing.ALIVE)).as("about " + i).isEqualTo(11);
        }
    }

    @Test
    void withAThirdLostFewAreWronglyCalledDeadAndAllIsWellAfterwards() {
        World w = new World(30, 2);
        w.lost = 0.3;
        int wrong = 0;
        for (double t = 2000; t < 60_000; t += 2000) {
            w.until(t);
            for (int i = 0; i < 30; i++) {
                wrong += (int) w.say(i, Standing.DEAD);
            }
        }
        assertThat(wrong / (29.0 * 30 * 29)).as("part of all views").isLessThan(0.04);
        w.lost = 0;
        w.until(90_000);
        for (int i = 0; i < 30; i++) {
            assertThat(w.say(i, Standing.ALIVE)).isEqualTo(29);
        }
    }

    @Test
    void whoIsCutOffIsDeadToTheOthersAndThereAgainAfterwards() {
        World w = new World(10, 7);
        w.until(2000);
        w.cut.add(5);
        w.until(50_000);
        assertThat(w.say(5, Standing.DEAD)).isEqualTo(9);
        w.cut.clear();
        w.until(90_000);
        for (int i = 0; i < 10; i++) {
            assertThat(w.say(i, Standing.ALIVE)).as("about " + i).isEqualTo(9);
        }
    }

    @Test
    void messagesAreWholeOrNoneAndFloodsAreBounded() {
        List<News> news = new ArrayList<>();
        for (int i = 0; i < SwimMessage.MOST_NEWS; i++) {
            news.add(new News(i, Standing.values()[i % 3], i));
        }
        SwimMessage m = new SwimMessage(Kind.PING_FOR, 5, 6, news);
        byte[] bytes = m.bytes();
        assertThat(SwimMessage.of(bytes)).isEqualTo(m);
        for (int cut = 0; cut < bytes.length; cut++) {
            assertThat(SwimMessage.of(Arrays.copyOf(bytes, cut))).isNull();
        }
        World w = new World(4, 1);
        SplittableRandom random = new SplittableRandom(3);
        long before = w.sent;
        for (int i = 0; i < 10_000; i++) {
            w.all.get(0).heard(0, 2, new SwimMessage(Kind.PING_FOR, random.nextLong(), 3, List.of()));
            byte[] b = bytes.clone();
            b[random.nextInt(b.length)] ^= (byte) (1 + random.nextInt(255));
            SwimMessage spoilt = SwimMessage.of(b);
            if (spoilt != null) {
                w.all.get(0).heard(0, 2, spoilt);
            }
        }
        assertThat(w.sent - before)
                .as("questions for others")
                .isLessThanOrEqualTo(SwimMembership.MOST_FAVOURS + 10_000);
        assertThat(w.all.get(0).standing(99)).isEqualTo(Standing.DEAD);
        assertThat(w.all.get(0).ill()).isBetween(0, SwimMembership.MOST_ILL);
    }
}
