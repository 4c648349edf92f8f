package cacheproxy.fleet.healthcheck;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.fleet.healthcheck.HealthCheckMessage.Kind;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Trials made once for all, on virtual time, with real desks and messages between them. */
class HealthCheckCoordinatorTest {
    private static final HealthCheckTiming RULES = new HealthCheckTiming(250, 600, 1000);
    private static final int SHARES = 3;

    private record Mail(double atMs, long n, int from, int to, HealthCheckMessage m) {}

    private record Told(double atMs, int desk, int server, boolean sound) {}

    /** Desks, who holds each share, which servers are sick for whom, and what is lost. */
    private static final class World {
        final List<HealthCheckCoordinator> desks = new ArrayList<>();
        final PriorityQueue<Mail> mail = new PriorityQueue<>(
                (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.n, b.n));
        final PriorityQueue<double[]> ends = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
        final int[] holder = new int[SHARES];
        final long[] epoch = new long[SHARES];
        /** What each believes of who holds. */
        final Map<Integer, Integer> belief = new HashMap<>();

        final Set<Integer> sick = new HashSet<>();
        final Set<String> cutFrom = new HashSet<>();
        final List<Told> told = new ArrayList<>();
        final SplittableRandom random;
        final int count;
        double loss;
        double lateMs = 5;
        double now;
        long n;
        int trials;
        int trialsInTwo;
        final Map<Integer, Integer> out = new HashMap<>();

        World(int count, long seed) {
            this.count = count;
            random = new SplittableRandom(seed);
            for (int i = 0; i < SHARES; i++) {
                epoch[i] = 1;
            }
            for (int i = 0; i < count; i++) {
                int me = i;
                List<LeaseHandle> shares = new ArrayList<>();
                for (int s = 0; s < SHARES; s++) {
                    shares.add(tenure(me, s));
                }
                desks.add(new HealthCheckCoordinator(
                        me + 1, me * 1000L, RULES, shares, new HealthCheckCoordinator.Out() {
                            @Override
                            public void send(long to, HealthCheckMessage m) {
                                if (random.nextDouble() >= loss) {
                                    for (int copies = random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
                                        mail.add(new Mail(
                                                now + 0.1 + random.nextDouble() * lateMs,
                                                n++,
                                                me,
                                                (int) to - 1,
                                                HealthCheckMessage.of(m.bytes())));
                                    }
                                }
                            }

                            @Override
                            public boolean trial(int server) {
                                trials++;
                                out.merge(server, 1, Integer::sum);
                                trialsInTwo += out.get(server) > 1 ? 1 : 0;
                                boolean bad = sick.contains(server) || cutFrom.contains(me + "/" + server);
                                ends.add(new double[] {now + (bad ? 250 : 2), me, server, bad ? 0 : 1});
                                return true;
                            }

                            @Override
                            public void told(int server, boolean sound) {
                                told.add(new Told(now, me, server, sound));
                            }
                        }));
            }
        }

        LeaseHandle tenure(int me, int share) {
            return new LeaseHandle() {
                @Override
                public long permit(double at, double actMs) {
                    return holder[share] == me ? epoch[share] : -1;
                }

                @Override
                public double remainingMs(double at) {
                    return holder[share] == me ? 1000 : 0;
                }

                @Override
                public long holder(double at) {
                    return belief.getOrDefault(me, holder[share]) + 1;
                }

                @Override
                public List<Long> candidateOrder() {
                    return List.of(1L, 2L, 3L);
                }

                @Override
                public long id() {
                    return NameHash.of("probe." + share);
                }
            };
        }

        void until(double ms) {
            while (true) {
                double next = ms;
                for (HealthCheckCoordinator d : desks) {
                    next = Math.min(next, d.tick(now));
                }
                double atMail = mail.isEmpty() ? Double.POSITIVE_INFINITY : mail.peek().atMs;
                double atEnd = ends.isEmpty() ? Double.POSITIVE_INFINITY : ends.peek()[0];
                now = Math.max(now, Math.min(next, Math.min(atMail, atEnd)));
                if (atMail <= now && atMail <= atEnd) {
                    Mail m = mail.poll();
                    desks.get(m.to).heard(now, m.from + 1, m.m);
                } else if (atEnd <= now) {
                    double[] e = ends.poll();
                    out.merge((int) e[2], -1, Integer::sum);
                    desks.get((int) e[1]).ended(now, (int) e[2], e[3] == 1);
                } else if (now >= ms) {
                    return;
                }
            }
        }

        void allWant(int server) {
            desks.forEach(d -> d.wanted(now, server));
        }
    }

    @Test
    void aHundredThatWantItMakeOneTrialAndAllAreTold() {
        World w = new World(100, 1);
        w.sick.add(7);
        w.allWant(7);
        w.until(2000);
        assertThat(w.told).hasSize(100).allMatch(t -> !t.sound && t.atMs < 600);
        assertThat(w.trials).isEqualTo(1);
        w.sick.clear();
        w.allWant(7);
        w.until(4000);
        assertThat(w.told).hasSize(200);
        assertThat(w.told.subList(100, 200)).allMatch(Told::sound);
        assertThat(w.trials).isEqualTo(2);
        assertThat(w.desks
                        .get(w.holder[HealthCheckCoordinator.share(7, SHARES)])
                        .counts()
                        .own())
                .isEqualTo(2);
    }

    @Test
    void whoIsBelievedToHoldItWronglyRefersToTheOneThatDoes() {
        World w = new World(5, 2);
        int share = HealthCheckCoordinator.share(7, SHARES);
        w.holder[share] = 4;
        w.belief.put(1, 2); // and 2 knows
        w.desks.get(1).wanted(0, 7);
        w.until(1000);
        assertThat(w.told).singleElement().matches(t -> t.sound && t.desk == 1);
        assertThat(w.desks.get(4).counts().forOthers()).isEqualTo(1);
        // Nobody knows: it goes by itself at once, not after its patience.
        w.belief.put(2, -1);
        w.belief.put(1, 2);
        w.told.clear();
        w.desks.get(1).wanted(200_000, 8);
        w.until(1100);
        assertThat(w.told).hasSize(1);
    }

    @Test
    void withoutAHolderEachGoesByItselfOnceItsPatienceIsOver() {
        World w = new World(4, 3);
        w.loss = 1;
        w.allWant(7);
        w.until(1000);
        assertThat(w.told).hasSize(4).allMatch(Told::sound);
        assertThat(w.told.stream().filter(t -> t.atMs > 590)).hasSize(3);
        assertThat(w.trials).isEqualTo(4);
    }

    /** Trials: a holder that is cut off from a sound server keeps nobody else out for longer than three words. */
    @Test
    void wordThatIsAtOddsWithOnesOwnWayIsNotTakenForLong() {
        World w = new World(3, 4);
        int share = HealthCheckCoordinator.share(7, SHARES);
        w.holder[share] = 2;
        w.cutFrom.add("2/7");
        List<Boolean> heard = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            w.told.clear();
            w.desks.get(0).wanted(w.now, 7);
            w.until(w.now + 3000);
            heard.add(w.told.get(0).sound);
        }
        assertThat(heard).containsExactly(false, false, false, true);
        // And the reverse: it is called sound, and is wanted again at once, since it is not from here.
        w.cutFrom.clear();
        w.cutFrom.add("0/7");
        heard.clear();
        for (int i = 0; i < 2; i++) {
            w.told.clear();
            w.desks.get(0).wanted(w.now, 7);
            w.until(w.now + 3000);
            heard.add(w.told.get(0).sound);
        }
        assertThat(heard).containsExactly(true, false);
    }

    @Test
    void wordUnderAnOlderEpochAndWordThatComesLateAreNotTaken() {
        World w = new World(3, 5);
        int share = HealthCheckCoordinator.share(7, SHARES);
        w.holder[share] = 2;
        w.epoch[share] = 9;
        w.desks.get(0).wanted(0, 7);
        w.until(100);
        assertThat(w.told).hasSize(1);
        int other = 0;
        while (HealthCheckCoordinator.share(other, SHARES) != share || other == 7) {
            other++;
        }
        w.told.clear();
        w.desks.get(0).wanted(w.now, other);
        Mail asked = w.mail.peek();
        long duty = asked.m.duty();
        w.desks
                .get(0)
                .heard(w.now, 2, new HealthCheckMessage(Kind.ANSWER, duty, other, asked.m.number(), 8, 0, false, 0));
        w.desks
                .get(0)
                .heard(
                        w.now,
                        2,
                        new HealthCheckMessage(Kind.ANSWER, duty, other, asked.m.number() + 1, 9, 0, false, 0));
        w.desks
                .get(0)
                .heard(
                        w.now,
                        2,
                        new HealthCheckMessage(Kind.ANSWER, duty, other, asked.m.number(), 9, 0, false, 60_000));
        assertThat(w.told).isEmpty();
        assertThat(w.desks.get(0).counts().olderEpochs()).isEqualTo(1);
        assertThat(w.desks.get(0).counts().tooLate()).isEqualTo(2);
    }

    /** Its pool has gone in the midst of it: the server is not left waiting for an end that does not come. */
    @Test
    void aTrialWhoseEndNeverComesCountsAsFailedAndTheNextIsMade() {
        World w = new World(1, 11);
        w.desks.get(0).wanted(0, 7);
        w.ends.clear();
        w.until(RULES.probeMs());
        assertThat(w.told).isEmpty();
        w.until(3 * RULES.probeMs());
        assertThat(w.told).singleElement().matches(t -> !t.sound);
        w.desks.get(0).ended(w.now, 7, true);
        assertThat(w.told).as("an end after that").hasSize(1);
        w.desks.get(0).wanted(w.now, 7);
        w.until(w.now + 100);
        assertThat(w.told).hasSize(2).last().matches(t -> t.sound);
    }

    /** Whoever lost the duty during the trial says nothing of it. */
    @Test
    void aTrialThatOutlastedTheDutyIsNotTold() {
        World w = new World(3, 6);
        int share = HealthCheckCoordinator.share(7, SHARES);
        w.holder[share] = 2;
        w.sick.add(7);
        w.desks.get(0).wanted(0, 7);
        w.until(100);
        w.holder[share] = 1;
        w.until(300);
        assertThat(w.told).isEmpty();
        w.until(900);
        assertThat(w.told).singleElement().matches(t -> t.desk == 0 && !t.sound);
    }

    @Test
    void whoDealsTheServersOutOtherwiseGoesByItself() {
        World w = new World(3, 7);
        w.desks.get(0).use(RULES, List.of(w.tenure(0, 0), w.tenure(0, 1)));
        for (int i = 0; i < SHARES; i++) {
            w.holder[i] = 2;
        }
        for (int server = 0; server < 200; server++) {
            w.desks.get(0).wanted(0, server);
        }
        w.until(2000);
        assertThat(w.told).hasSize(200);
    }

    @Test
    void boundsAreKeptAndWhoeverIsBeyondThemGoesByItself() {
        World w = new World(2, 8);
        w.loss = 1;
        for (int i = 0; i < SHARES; i++) {
            w.holder[i] = 1;
        }
        for (int server = 0; server < HealthCheckCoordinator.MOST_WANTS + 10; server++) {
            w.desks.get(0).wanted(0, server);
        }
        assertThat(w.trials).as("at once, beyond the bound").isEqualTo(10);
        w.until(2000);
        assertThat(w.told).hasSize(HealthCheckCoordinator.MOST_WANTS + 10);
        // A flood of what others want: as many trials as may be, the rest is told to go by itself.
        World x = new World(2, 9);
        for (int server = 0; server < 500; server++) {
            x.sick.add(server);
            x.desks
                    .get(0)
                    .heard(
                            0,
                            2,
                            new HealthCheckMessage(
                                    Kind.WANT,
                                    NameHash.of("probe." + HealthCheckCoordinator.share(server, SHARES)),
                                    server,
                                    server,
                                    0,
                                    0,
                                    false,
                                    0));
        }
        assertThat(x.trials).isEqualTo(HealthCheckCoordinator.MOST_TRIALS);
        assertThat(x.mail)
                .hasSizeGreaterThanOrEqualTo(500 - HealthCheckCoordinator.MOST_TRIALS)
                .allMatch(m -> m.m.kind() == Kind.ELSEWHERE);
        World y = new World(2, 10);
        y.sick.add(7);
        for (int i = 0; i < 2 * HealthCheckCoordinator.MOST_WAITING; i++) {
            y.desks
                    .get(0)
                    .heard(
                            0,
                            2,
                            new HealthCheckMessage(
                                    Kind.WANT,
                                    NameHash.of("probe." + HealthCheckCoordinator.share(7, SHARES)),
                                    7,
                                    i,
                                    0,
                                    0,
                                    false,
                                    0));
        }
        y.ends.poll();
        y.desks.get(0).ended(250, 7, false);
        assertThat(y.mail.stream().map(m -> m.m.number()).distinct()).hasSize(HealthCheckCoordinator.MOST_WAITING);
    }

    /**
     * Whatever is lost, late, doubled, whoever holds: each want is told once, in time, and the number of trials never
     * exceeds the wants.
     */
    @Test
    void everyWantIsToldOnceInTimeWhateverIsLost() {
        for (int seed = 0; seed < 200; seed++) {
            World w = new World(5, seed);
            SplittableRandom r = new SplittableRandom(seed + 1000);
            w.loss = r.nextInt(4) * 0.3;
            w.lateMs = r.nextInt(3) == 0 ? 2000 : 5;
            int wants = 0;
            for (int step = 0; step < 60; step++) {
                int server = r.nextInt(6);
                switch (r.nextInt(5)) {
                    case 0 -> {
                        int share = r.nextInt(SHARES);
                        w.holder[share] = r.nextInt(6) - 1; // -1: nobody
                        w.epoch[share]++;
                    }
                    case 1 -> w.belief.put(r.nextInt(5), r.nextInt(6) - 1);
                    case 2 -> {
                        if (!w.sick.remove(server)) {
                            w.sick.add(server);
                        }
                    }
                    default -> {
                        double from = w.now;
                        int before = w.told.size();
                        w.allWant(server);
                        wants += 5;
                        w.until(from + RULES.patienceMs() + RULES.probeMs() + 1);
                        assertThat(w.told.size() - before)
                                .as("seed " + seed + " step " + step)
                                .isEqualTo(5);
                        assertThat(w.told.subList(before, before + 5).stream()
                                        .map(t -> t.desk)
                                        .distinct())
                                .hasSize(5);
                    }
                }
            }
            assertThat(w.trials).isLessThanOrEqualTo(2 * wants);
        }
    }

    @Test
    void messagesAreWholeOrNone() {
        HealthCheckMessage m = new HealthCheckMessage(Kind.ANSWER, 1, 2, 3, 4, 5, true, 6);
        assertThat(HealthCheckMessage.of(m.bytes())).isEqualTo(m);
        assertThat(HealthCheckMessage.of(new byte[HealthCheckMessage.LENGTH - 1]))
                .isNull();
        byte[] bad = m.bytes();
        bad[0] = 9;
        assertThat(HealthCheckMessage.of(bad)).isNull();
        assertThatThrownBy(() -> new HealthCheckTiming(250, 250, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
