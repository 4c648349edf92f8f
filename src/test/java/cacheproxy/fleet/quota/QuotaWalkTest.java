package cacheproxy.fleet.quota;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.simulation.QuotaSimulation;
import cacheproxy.simulation.QuotaSimulation.Fault;
import cacheproxy.simulation.QuotaSimulation.Plan;
import cacheproxy.simulation.QuotaSimulation.Result;
import cacheproxy.simulation.QuotaSimulation.Trouble;
import cacheproxy.simulation.QuotaSimulation.Way;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Fleets that share a limit through random troubles, on virtual time: what all spend together stays within the stated
 * bound, whatever befalls them.
 */
class QuotaWalkTest {
    private static final int WALKS = Integer.getInteger("quota.walks", 400);
    private static final QuotaTiming RULES = new QuotaTiming(600, 0.01);

    private static Plan plan(long seed, QuotaTiming rules) {
        SplittableRandom r = new SplittableRandom(seed);
        int n = 2 + r.nextInt(8);
        boolean atOnce = r.nextInt(4) == 0;
        QuotaSpec.Alone alone =
                atOnce ? QuotaSpec.Alone.values()[r.nextInt(2) * 2] : QuotaSpec.Alone.values()[r.nextInt(3)];
        double work = atOnce ? 50 + r.nextInt(600) : 0;
        double amount = atOnce ? 1 + r.nextInt(60) : 5 + r.nextInt(300);
        QuotaSpec l = new QuotaSpec(
                "l", atOnce, amount, atOnce ? 0 : r.nextInt(30), alone, r.nextInt(3) == 0 ? r.nextDouble() : 1, work);
        int spans = 1 + r.nextInt(4);
        double[][] offered = new double[spans][n];
        double all = (atOnce ? amount * 1000 / work : amount) * (0.5 + 4 * r.nextDouble());
        for (double[] span : offered) {
            double sum = 0;
            for (int i = 0; i < n; i++) {
                span[i] = Math.pow(r.nextDouble(), 6);
                sum += span[i];
            }
            for (int i = 0; i < n; i++) {
                span[i] *= all / sum;
            }
        }
        List<Fault> faults = new ArrayList<>();
        for (int i = r.nextInt(12); i > 0; i--) {
            Trouble t = Trouble.values()[r.nextInt(Trouble.values().length)];
            List<Integer> who = new ArrayList<>();
            double part = r.nextInt(4) == 0 ? 0.9 : 0.3;
            IntStream.range(0, n).filter(p -> r.nextDouble() < part).forEach(who::add);
            double figure = t == Trouble.LATE ? r.nextInt(3) == 0 ? 5000 : 400 : r.nextDouble() * 0.8;
            faults.add(new Fault(
                    t,
                    500 + r.nextDouble() * 7000,
                    50 + r.nextDouble() * (r.nextInt(3) == 0 ? 5000 : 1200),
                    who,
                    figure));
        }
        return new Plan(Way.DEALER, n, l, rules, offered, 300 + r.nextDouble() * 3000, work, 10_000, faults, seed);
    }

    /** By how much a plan's bound is passed; 0 or less: it is not. */
    private static double passed(Plan p) {
        Result result = QuotaSimulation.play(p);
        if (p.limit().atOnce()) {
            return result.over()[0];
        }
        // LAST: the links may fail several times in a window, and each time what was granted decays.
        double fails = p.limit().alone() == QuotaSpec.Alone.LAST
                ? p.faults().size() * p.limit().amount() * QuotaSpec.DECAY * RULES.grantMs() / 2000
                : 0;
        double passed = Double.NEGATIVE_INFINITY;
        for (int w = 0; w < QuotaSimulation.WINDOWS.length; w++) {
            passed = Math.max(
                    passed,
                    result.over()[w]
                            - fails
                            - OvershootBound.over(p.limit(), p.rules(), p.proxies(), QuotaSimulation.WINDOWS[w]));
        }
        return passed;
    }

    @Test
    void noTroublePushesAFleetOverItsBound() {
        double[] passed = IntStream.range(0, WALKS)
                .parallel()
                .mapToDouble(seed -> passed(plan(seed, RULES)))
                .toArray();
        for (int seed = 0; seed < WALKS; seed++) {
            assertThat(passed[seed])
                    .as("seed " + seed + ": " + plan(seed, RULES))
                    .isLessThanOrEqualTo(0);
        }
        System.out.println("quota walks " + WALKS + ", nearest to the bound "
                + Arrays.stream(passed).max().orElse(0));
    }

    /** Four proxies and 300 a second without room for bursts: first all of it is wanted at one, then at all. */
    private static Plan aimed(QuotaTiming rules, QuotaSpec.Alone alone, int first, Fault... faults) {
        double[] one = new double[4];
        one[first] = 900;
        double[] all = new double[4];
        Arrays.fill(all, 900);
        return new Plan(
                Way.DEALER,
                4,
                new QuotaSpec("l", false, 300, 0, alone, 1, 0),
                rules,
                new double[][] {one, all, all},
                5000,
                0,
                15_000,
                List.of(faults),
                1);
    }

    /** By the right rules the plan's bound holds, by the planted ones it does not. */
    private static void found(
            QuotaTiming right, QuotaTiming planted, QuotaSpec.Alone alone, int first, Fault... faults) {
        assertThat(passed(aimed(right, alone, first, faults))).isLessThanOrEqualTo(0);
        assertThat(passed(aimed(planted, alone, first, faults))).isPositive();
    }

    @Test
    void grantsThatAreSpentAfterTheirEndAreFound() {
        found(
                RULES,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double usedMs() {
                        return 10 * super.usedMs();
                    }
                },
                QuotaSpec.Alone.NONE,
                1,
                new Fault(Trouble.CUT, 4900, 5000, List.of(1), 0));
    }

    @Test
    void aDealerThatForgetsWhatItHasGivenOutIsFound() {
        found(
                RULES,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double outMs(QuotaSpec l) {
                        return 1;
                    }
                },
                QuotaSpec.Alone.NONE,
                1,
                new Fault(Trouble.CUT, 4900, 5000, List.of(1), 0));
    }

    @Test
    void loansThatAreTakenBackBeforeTheirEndAreFound() {
        found(
                RULES,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double keptMs(QuotaSpec l) {
                        return 50;
                    }

                    @Override
                    public double silenceMs(QuotaSpec l) {
                        return super.keptMs(l);
                    }
                },
                QuotaSpec.Alone.SHARE,
                1,
                new Fault(Trouble.CUT, 4990, 5000, List.of(2, 3), 0));
    }

    @Test
    void aProcessThatSpendsAtOnceWhatItsEarlierLifeHadLentIsFound() {
        found(
                RULES,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double silenceMs(QuotaSpec l) {
                        return 0;
                    }
                },
                QuotaSpec.Alone.SHARE,
                1,
                new Fault(Trouble.KILL, 4950, 40, List.of(2, 3), 0));
    }

    @Test
    void aNewHolderThatDealsAtOnceWhatTheLastOneGaveOutIsFound() {
        QuotaTiming slow = new QuotaTiming(4000, 0.01);
        found(
                slow,
                new QuotaTiming(4000, 0.01) {
                    @Override
                    public double takeoverMs(QuotaSpec l) {
                        return 0;
                    }
                },
                QuotaSpec.Alone.NONE,
                1,
                new Fault(Trouble.KILL, 4500, 5000, List.of(0), 0));
    }

    /** A proxy that stood still for longer than all that it held finds its grants over before it spends. */
    @Test
    void whoeverWakesWithAPocketFullOfOldGrantsSpendsNoneOfThem() {
        for (QuotaSpec.Alone alone : QuotaSpec.Alone.values()) {
            assertThat(passed(aimed(
                            RULES,
                            alone,
                            1,
                            new Fault(Trouble.STOP, 4900, 3000, List.of(1), 0),
                            new Fault(Trouble.STOP, 9000, 700, List.of(0, 1, 2), 0))))
                    .isLessThanOrEqualTo(0);
        }
    }

    /** Less than one a second for each. */
    @Test
    void aLimitBelowOneASecondForEachProxyIsSharedAndKept() {
        double[] even = new double[100];
        Arrays.fill(even, 1);
        Result r = QuotaSimulation.play(new Plan(
                Way.DEALER,
                100,
                new QuotaSpec("l", false, 25, 25, QuotaSpec.Alone.SHARE, 1, 0),
                RULES,
                new double[][] {even},
                1000,
                0,
                12_000,
                List.of(new Fault(Trouble.LOSS, 3000, 3000, List.of(0), 0.3)),
                1));
        assertThat(r.over()[2])
                .isLessThanOrEqualTo(OvershootBound.over(
                        new QuotaSpec("l", false, 25, 25, QuotaSpec.Alone.SHARE, 1, 0), RULES, 100, 10_000));
        assertThat(r.spent()).as("of 300, some lie idle in buckets of one").isGreaterThan(150);
    }

    /**
     * A peer that lies about what it wants gets its fair part and no more; one that gives nothing back delays others by
     * a grant's time.
     */
    @Test
    void whoeverWantsEverythingGetsItsFairPart() {
        AllocationLedger book = new AllocationLedger(RULES);
        QuotaSpec l = new QuotaSpec("l", false, 100, 0, QuotaSpec.Alone.NONE, 0, 0);
        book.use(l, 100);
        book.wanted(0, 1, 7, 1e9, 1);
        book.wanted(0, 2, 8, 10, 1);
        book.wanted(0, 3, 9, 80, 1);
        double[] got = new double[4];
        book.deal(0, true).forEach(g -> got[(int) g.peer()] = g.amount());
        assertThat(got[2]).isEqualTo(10);
        assertThat(got[1]).isEqualTo(45);
        assertThat(got[3]).isEqualTo(45);
        assertThat(book.out(0)).isLessThanOrEqualTo(100);
        assertThat(book.out(RULES.outMs(l))).isZero();
        book.wanted(10, 4, 5, 100, 1);
        assertThat(book.deal(10, true)).allSatisfy(g -> assertThat(g.amount()).isZero());
        book.wanted(20, 3, 9, 5, 2); // gives 40 back
        book.deal(20, true).forEach(g -> got[g.peer() == 4 ? 0 : (int) g.peer()] = g.amount());
        assertThat(got[0]).as("what was given back is dealt out at once").isPositive();
        assertThat(book.out(20)).isLessThanOrEqualTo(100 + 1e-9);
    }

    @Test
    void boundsOfBooksPocketsAndMessagesAreKept() {
        OutstandingGrants line = new OutstandingGrants(true);
        OutstandingGrants counted = new OutstandingGrants(false);
        for (int i = 0; i < 100; i++) {
            line.add(1000 - i, 10 + i);
            counted.add(1000 - i, 10 + i);
        }
        assertThat(line.at(50))
                .as("what is owed is never less than was promised")
                .isGreaterThanOrEqualTo(1000 - 41);
        assertThat(counted.at(50)).as("what one counts on is never more").isLessThanOrEqualTo(1000 - 41);
        assertThat(line.at(109.5)).isZero();
        QuotaSpec l = new QuotaSpec("l", false, 100, 0, QuotaSpec.Alone.SHARE, 1, 0);
        LocalQuota p = new LocalQuota(l, RULES, -1e6);
        p.use(l, 50, 2, 0);
        for (int dealer = 1; dealer <= 10; dealer++) {
            p.lend(dealer, 1);
        }
        assertThat(p.lentOut(1)).isLessThanOrEqualTo(50);
        assertThat(p.own(1)).isGreaterThanOrEqualTo(0);
        assertThat(QuotaMessage.of(new byte[3])).isNull();
        QuotaMessage m = new QuotaMessage(QuotaMessage.Kind.LOAN, 1, 2, 3, List.of(new QuotaMessage.Entry(4, 0.1)));
        assertThat(QuotaMessage.of(m.bytes()).entries().get(0).amount()).isLessThanOrEqualTo(0.1);
        byte[] bytes = m.bytes();
        for (int cut = 0; cut < bytes.length; cut++) {
            assertThat(QuotaMessage.of(Arrays.copyOf(bytes, cut)))
                    .as("cut at " + cut)
                    .satisfiesAnyOf(
                            x -> assertThat(x).isNull(),
                            x -> assertThat(x.entries()).isEmpty());
        }
        SplittableRandom random = new SplittableRandom(1);
        QuotaManager q = new QuotaManager(1, RULES, random, 0, peer -> true, (to, x) -> {});
        q.use(List.of(l), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 0);
        for (int i = 0; i < 20_000; i++) { // spoilt and hostile ones change nothing that is not bounded
            byte[] b = new byte[25 + 12 * random.nextInt(16)];
            random.nextBytes(b);
            b[0] = (byte) random.nextInt(4);
            QuotaMessage spoilt = QuotaMessage.of(b);
            if (spoilt != null) {
                q.heard(i, 2, spoilt);
            }
        }
        q.tick(30_000);
        assertThat(q.pocket("l").mine(30_000)).isLessThanOrEqualTo(50);
    }

    /** A file without the limit, and the next with it again: what was lent meanwhile is still lent. */
    @Test
    void aLimitThatIsTakenOutAndPutBackIsSilentForAsLongAsItMayBeLent() {
        QuotaSpec l = new QuotaSpec("l", false, 100, 0, QuotaSpec.Alone.SHARE, 1, 0);
        QuotaManager q = new QuotaManager(1, RULES, new SplittableRandom(1), -1e6, peer -> true, (to, x) -> {});
        q.use(List.of(l), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 0);
        assertThat(q.pocket("l").own(1)).isEqualTo(50);
        q.heard(
                1,
                2,
                new QuotaMessage(
                        QuotaMessage.Kind.CALL, 7, 1, 0, List.of(new QuotaMessage.Entry(NameHash.of("l"), 0))));
        assertThat(q.pocket("l").own(1)).as("lent").isLessThan(2);
        q.use(List.of(), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 10);
        q.use(List.of(l), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 20);
        assertThat(q.pocket("l").own(30)).isZero();
        assertThat(q.pocket("l").own(RULES.keptMs(l))).isZero();
        assertThat(q.pocket("l").own(21 + RULES.keptMs(l))).isEqualTo(50);
        QuotaSpec other = new QuotaSpec("l", true, 10, 0, QuotaSpec.Alone.SHARE, 1, 500);
        q.use(List.of(other), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 5000);
        assertThat(q.pocket("l").mine(5001)).as("of another kind").isZero();
        assertThat(q.pocket("l").mine(5001 + RULES.keptMs(other))).isEqualTo(5);
    }

    /**
     * What was dealt out stands though the file no longer has the limit: with it back nothing of that is dealt out
     * twice.
     */
    @Test
    void aDealerWhoseFileDropsALimitAndTakesItBackStillCountsWhatItGaveOut() {
        QuotaSpec l = new QuotaSpec("l", false, 100, 0, QuotaSpec.Alone.NONE, 0, 0);
        List<QuotaMessage> sent = new ArrayList<>();
        QuotaManager q =
                new QuotaManager(1, RULES, new SplittableRandom(1), -1e6, peer -> true, (to, m) -> sent.add(m));
        LeaseHandle holds = new LeaseHandle() {
            @Override
            public long permit(double now, double actMs) {
                return 9;
            }

            @Override
            public double remainingMs(double now) {
                return 1e6;
            }

            @Override
            public long holder(double now) {
                return 1;
            }

            @Override
            public List<Long> candidateOrder() {
                return List.of(1L);
            }

            @Override
            public long id() {
                return 1;
            }
        };
        q.use(List.of(l), List.of(holds), List.of(1L, 2L, 3L), 3, false, true, 0);
        q.tick(0);
        double dealt = RULES.takeoverMs(l) + 1;
        assertThat(given(q, sent, 2, dealt)).isEqualTo(100);
        q.use(List.of(), List.of(holds), List.of(1L, 2L, 3L), 3, false, true, dealt + 10);
        q.use(List.of(l), List.of(holds), List.of(1L, 2L, 3L), 3, false, true, dealt + 20);
        assertThat(given(q, sent, 3, dealt + 30)).isZero();
        assertThat(given(q, sent, 3, dealt + RULES.outMs(l) + 30)).isEqualTo(100);
    }

    /** What a dealer gives a peer that asks for all of the limit. */
    private static double given(QuotaManager q, List<QuotaMessage> sent, long to, double now) {
        sent.clear();
        q.heard(
                now,
                to,
                new QuotaMessage(
                        QuotaMessage.Kind.WANT,
                        to,
                        (long) now,
                        0,
                        List.of(new QuotaMessage.Entry(NameHash.of("l"), 100))));
        q.tick(now);
        return sent.stream()
                .filter(m -> m.kind() == QuotaMessage.Kind.GRANT)
                .mapToDouble(m -> m.entries().get(0).amount())
                .max()
                .orElseThrow();
    }

    /** Shares shrink at once and grow only once what others may still spend of them is over. */
    @Test
    void aListThatChangesInTwoStepsNeverSumsToMoreThanTheLimit() {
        QuotaSpec l = new QuotaSpec("l", false, 120, 0, QuotaSpec.Alone.SHARE, 1, 0);
        LocalQuota stays = new LocalQuota(l, RULES, -1e6);
        LocalQuota joins = new LocalQuota(l, RULES, -1e6);
        stays.use(l, l.share(2), 2, 0); // 60 of two
        assertThat(stays.own(0)).isEqualTo(60);
        stays.use(l, l.share(3), 3, 100); // both lists: three names, the new one owns nothing yet
        joins.use(l, 0, 3, 100);
        assertThat(stays.own(100)).isEqualTo(40);
        assertThat(joins.own(100)).isZero();
        joins.use(l, l.share(3), 3, 200); // the new list alone
        assertThat(joins.own(201)).isZero();
        assertThat(joins.own(201 + RULES.keptMs(l))).isEqualTo(40);
        stays.use(l, l.share(2), 2, 5000); // one left again: not at once
        assertThat(stays.own(5001)).isEqualTo(40);
        assertThat(stays.own(5001 + RULES.keptMs(l))).isEqualTo(60);
        QuotaSpec lower = new QuotaSpec("l", false, 60, 0, QuotaSpec.Alone.SHARE, 1, 0);
        stays.use(lower, lower.share(2), 2, 9000);
        assertThat(stays.own(9000)).as("a lower limit counts at once").isEqualTo(30);
    }
}
