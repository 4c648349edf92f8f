package cacheproxy.fleet.quota;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.simulation.QuotaSimulation;
import cacheproxy.simulation.QuotaSimulation.Fault;
import cacheproxy.simulation.QuotaSimulation.FaultKind;
import cacheproxy.simulation.QuotaSimulation.Plan;
import cacheproxy.simulation.QuotaSimulation.Result;
import cacheproxy.simulation.QuotaSimulation.Scheme;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Simulated fleets that share a quota during random faults, in virtual time: the proxies of a fleet together must stay
 * within {@link OvershootBound}, and runs with injected defects must exceed it. For longer runs:
 * {@code -Dquota.walks=20000}.
 */
class QuotaWalkTest {
    private static final int WALKS = Integer.getInteger("quota.walks", 400);
    private static final QuotaTiming TIMING = new QuotaTiming(600, 0.01);

    /** Returns by how much a run exceeds its bound; 0 or less if it does not. */
    private static double excessOverBound(Plan plan) {
        Result result = QuotaSimulation.run(plan);
        if (plan.quota().concurrent()) {
            return result.overshoot()[0];
        }
        // With LAST, links may fail several times in a window, and a grant decays each time.
        double decaying = plan.quota().whenIsolated() == QuotaSpec.IsolationPolicy.LAST
                ? plan.faults().size() * plan.quota().amount() * QuotaSpec.DECAY_GRANTS * TIMING.grantMs() / 2000
                : 0;
        double excess = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < QuotaSimulation.WINDOWS_MS.length; i++) {
            excess = Math.max(
                    excess,
                    result.overshoot()[i]
                            - decaying
                            - OvershootBound.maxOvershoot(
                                    plan.quota(), plan.timing(), plan.proxies(), QuotaSimulation.WINDOWS_MS[i]));
        }
        return excess;
    }

    @Test
    void randomFaultsDoNotExceedOvershootBound() {
        double[] excess = IntStream.range(0, WALKS)
                .parallel()
                .mapToDouble(seed -> excessOverBound(RandomQuotaPlan.of(seed, TIMING)))
                .toArray();
        for (int seed = 0; seed < WALKS; seed++) {
            assertThat(excess[seed])
                    .as("seed " + seed + ": " + RandomQuotaPlan.of(seed, TIMING))
                    .isLessThanOrEqualTo(0);
        }
        System.out.println("quota walks " + WALKS + ", largest excess over the bound "
                + Arrays.stream(excess).max().orElse(0));
    }

    /** Four proxies share 300 requests per second without bursts; the demand is first at one proxy, then at all. */
    private static Plan targetedPlan(
            QuotaTiming timing, QuotaSpec.IsolationPolicy whenIsolated, int first, Fault... faults) {
        double[] one = new double[4];
        one[first] = 900;
        double[] all = new double[4];
        Arrays.fill(all, 900);
        return new Plan(
                Scheme.DEALER,
                4,
                new QuotaSpec("l", false, 300, 0, whenIsolated, 1, 0),
                timing,
                new double[][] {one, all, all},
                5000,
                0,
                15_000,
                List.of(faults),
                1);
    }

    /** Asserts that the bound holds with correct timing and is exceeded with the injected defect. */
    private static void assertDefectIsFound(
            QuotaTiming correct,
            QuotaTiming defective,
            QuotaSpec.IsolationPolicy whenIsolated,
            int first,
            Fault... faults) {
        assertThat(excessOverBound(targetedPlan(correct, whenIsolated, first, faults)))
                .isLessThanOrEqualTo(0);
        assertThat(excessOverBound(targetedPlan(defective, whenIsolated, first, faults)))
                .isPositive();
    }

    @Test
    void findsGrantsSpentAfterTheirExpiry() {
        assertDefectIsFound(
                TIMING,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double spendableMs() {
                        return 10 * super.spendableMs();
                    }
                },
                QuotaSpec.IsolationPolicy.NONE,
                1,
                new Fault(FaultKind.ISOLATE, 4900, 5000, List.of(1), 0));
    }

    @Test
    void findsAnAllocatorThatForgetsItsOutstandingGrants() {
        assertDefectIsFound(
                TIMING,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double outstandingMs(QuotaSpec spec) {
                        return 1;
                    }
                },
                QuotaSpec.IsolationPolicy.NONE,
                1,
                new Fault(FaultKind.ISOLATE, 4900, 5000, List.of(1), 0));
    }

    @Test
    void findsDonationsReclaimedBeforeTheirExpiry() {
        assertDefectIsFound(
                TIMING,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double donationWithheldMs(QuotaSpec spec) {
                        return 50;
                    }

                    @Override
                    public double startupSilenceMs(QuotaSpec spec) {
                        return super.donationWithheldMs(spec);
                    }
                },
                QuotaSpec.IsolationPolicy.SHARE,
                1,
                new Fault(FaultKind.ISOLATE, 4990, 5000, List.of(2, 3), 0));
    }

    @Test
    void findsARestartedProcessThatSpendsDonatedCapacity() {
        assertDefectIsFound(
                TIMING,
                new QuotaTiming(600, 0.01) {
                    @Override
                    public double startupSilenceMs(QuotaSpec spec) {
                        return 0;
                    }
                },
                QuotaSpec.IsolationPolicy.SHARE,
                1,
                new Fault(FaultKind.KILL, 4950, 40, List.of(2, 3), 0));
    }

    @Test
    void findsANewAllocatorThatDoesNotWaitForEarlierGrants() {
        QuotaTiming slow = new QuotaTiming(4000, 0.01);
        assertDefectIsFound(
                slow,
                new QuotaTiming(4000, 0.01) {
                    @Override
                    public double takeoverWaitMs(QuotaSpec spec) {
                        return 0;
                    }
                },
                QuotaSpec.IsolationPolicy.NONE,
                1,
                new Fault(FaultKind.KILL, 4500, 5000, List.of(0), 0));
    }

    /** A proxy that was paused for longer than its grants finds them expired before it spends. */
    @Test
    void resumedProcessSpendsNoExpiredGrant() {
        for (QuotaSpec.IsolationPolicy whenIsolated : QuotaSpec.IsolationPolicy.values()) {
            assertThat(excessOverBound(targetedPlan(
                            TIMING,
                            whenIsolated,
                            1,
                            new Fault(FaultKind.PAUSE, 4900, 3000, List.of(1), 0),
                            new Fault(FaultKind.PAUSE, 9000, 700, List.of(0, 1, 2), 0))))
                    .isLessThanOrEqualTo(0);
        }
    }

    @Test
    void sharesARateBelowOnePerSecondAndProxy() {
        double[] even = new double[100];
        Arrays.fill(even, 1);
        Result result = QuotaSimulation.run(new Plan(
                Scheme.DEALER,
                100,
                new QuotaSpec("l", false, 25, 25, QuotaSpec.IsolationPolicy.SHARE, 1, 0),
                TIMING,
                new double[][] {even},
                1000,
                0,
                12_000,
                List.of(new Fault(FaultKind.LOSE, 3000, 3000, List.of(0), 0.3)),
                1));
        assertThat(result.overshoot()[2])
                .isLessThanOrEqualTo(OvershootBound.maxOvershoot(
                        new QuotaSpec("l", false, 25, 25, QuotaSpec.IsolationPolicy.SHARE, 1, 0), TIMING, 100, 10_000));
        assertThat(result.admitted())
                .as("admitted of 300; the rest stays unused in buckets of one token")
                .isGreaterThan(150);
    }

    /** A peer that requests too much gets only its fair share, and delays others by at most the duration of a grant. */
    @Test
    void greedyPeerGetsItsFairShareOnly() {
        AllocationLedger ledger = new AllocationLedger(TIMING);
        QuotaSpec spec = new QuotaSpec("l", false, 100, 0, QuotaSpec.IsolationPolicy.NONE, 0, 0);
        ledger.configure(spec, 100);
        ledger.recordRequest(0, 1, 7, 1e9, 1);
        ledger.recordRequest(0, 2, 8, 10, 1);
        ledger.recordRequest(0, 3, 9, 80, 1);
        double[] got = new double[4];
        ledger.allocate(0, true).forEach(grant -> got[(int) grant.peer()] = grant.amount());
        assertThat(got[2]).isEqualTo(10);
        assertThat(got[1]).isEqualTo(45);
        assertThat(got[3]).isEqualTo(45);
        assertThat(ledger.outstanding(0)).isLessThanOrEqualTo(100);
        assertThat(ledger.outstanding(TIMING.outstandingMs(spec))).isZero();
        ledger.recordRequest(10, 4, 5, 100, 1);
        assertThat(ledger.allocate(10, true))
                .allSatisfy(grant -> assertThat(grant.amount()).isZero());
        ledger.recordRequest(20, 3, 9, 5, 2); // gives back 40
        ledger.allocate(20, true).forEach(grant -> got[grant.peer() == 4 ? 0 : (int) grant.peer()] = grant.amount());
        assertThat(got[0]).as("the returned amount is granted immediately").isPositive();
        assertThat(ledger.outstanding(20)).isLessThanOrEqualTo(100 + 1e-9);
    }

    @Test
    void corruptedMessagesAndManyDonationsStayWithinBounds() {
        OutstandingAmounts owed = new OutstandingAmounts(true);
        OutstandingAmounts counted = new OutstandingAmounts(false);
        for (int i = 0; i < 100; i++) {
            owed.add(1000 - i, 10 + i);
            counted.add(1000 - i, 10 + i);
        }
        assertThat(owed.amountAt(50))
                .as("an owed amount is never less than promised")
                .isGreaterThanOrEqualTo(1000 - 41);
        assertThat(counted.amountAt(50))
                .as("an amount that is relied on is never more than promised")
                .isLessThanOrEqualTo(1000 - 41);
        assertThat(owed.amountAt(109.5)).isZero();
        QuotaSpec spec = new QuotaSpec("l", false, 100, 0, QuotaSpec.IsolationPolicy.SHARE, 1, 0);
        LocalQuota local = new LocalQuota(spec, TIMING, -1e6);
        local.configure(spec, 50, 0);
        for (int allocator = 1; allocator <= 10; allocator++) {
            local.donate(allocator, 1);
        }
        assertThat(local.donated(1)).isLessThanOrEqualTo(50);
        assertThat(local.owned(1)).isGreaterThanOrEqualTo(0);
        assertThat(QuotaMessage.decode(new byte[3])).isNull();
        QuotaMessage message =
                new QuotaMessage(QuotaMessage.Kind.DONATE, 1, 2, 3, List.of(new QuotaMessage.Entry(4, 0.1)));
        assertThat(QuotaMessage.decode(message.encode()).entries().get(0).amount())
                .isLessThanOrEqualTo(0.1);
        byte[] bytes = message.encode();
        for (int cut = 0; cut < bytes.length; cut++) {
            assertThat(QuotaMessage.decode(Arrays.copyOf(bytes, cut)))
                    .as("cut at " + cut)
                    .satisfiesAnyOf(
                            decoded -> assertThat(decoded).isNull(),
                            decoded -> assertThat(decoded.entries()).isEmpty());
        }
        SplittableRandom random = new SplittableRandom(1);
        QuotaManager manager = new QuotaManager(1, TIMING, random, 0, peer -> true, (to, decoded) -> {});
        manager.configure(List.of(spec), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 0);
        for (int i = 0; i < 20_000; i++) { // corrupted and hostile messages have bounded effects
            byte[] corrupted = new byte[25 + 12 * random.nextInt(16)];
            random.nextBytes(corrupted);
            corrupted[0] = (byte) random.nextInt(4);
            QuotaMessage parsed = QuotaMessage.decode(corrupted);
            if (parsed != null) {
                manager.receive(i, 2, parsed);
            }
        }
        manager.tick(30_000);
        assertThat(manager.localQuota("l").capacity(30_000)).isLessThanOrEqualTo(50);
    }

    /** If a quota is removed from the configuration and restored, its donations remain in force. */
    @Test
    void restoredQuotaIsSilentUntilItsDonationsHaveExpired() {
        QuotaSpec spec = new QuotaSpec("l", false, 100, 0, QuotaSpec.IsolationPolicy.SHARE, 1, 0);
        QuotaManager manager =
                new QuotaManager(1, TIMING, new SplittableRandom(1), -1e6, peer -> true, (to, message) -> {});
        manager.configure(List.of(spec), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 0);
        assertThat(manager.localQuota("l").owned(1)).isEqualTo(50);
        manager.receive(
                1,
                2,
                new QuotaMessage(
                        QuotaMessage.Kind.SOLICIT, 7, 1, 0, List.of(new QuotaMessage.Entry(NameHash.of("l"), 0))));
        assertThat(manager.localQuota("l").owned(1)).as("donated").isLessThan(2);
        manager.configure(List.of(), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 10);
        manager.configure(List.of(spec), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 20);
        assertThat(manager.localQuota("l").owned(30)).isZero();
        assertThat(manager.localQuota("l").owned(TIMING.donationWithheldMs(spec)))
                .isZero();
        assertThat(manager.localQuota("l").owned(21 + TIMING.donationWithheldMs(spec)))
                .isEqualTo(50);
        QuotaSpec other = new QuotaSpec("l", true, 10, 0, QuotaSpec.IsolationPolicy.SHARE, 1, 500);
        manager.configure(List.of(other), List.of(LeaseHandle.UNHELD), List.of(1L, 2L), 2, false, true, 5000);
        assertThat(manager.localQuota("l").capacity(5001))
                .as("a quota of another kind")
                .isZero();
        assertThat(manager.localQuota("l").capacity(5001 + TIMING.donationWithheldMs(other)))
                .isEqualTo(5);
    }

    /** Grants remain outstanding while the quota is not configured, so that no capacity is granted twice. */
    @Test
    void allocatorCountsOutstandingGrantsOfARemovedAndRestoredQuota() {
        QuotaSpec spec = new QuotaSpec("l", false, 100, 0, QuotaSpec.IsolationPolicy.NONE, 0, 0);
        List<QuotaMessage> sent = new ArrayList<>();
        QuotaManager manager = new QuotaManager(
                1, TIMING, new SplittableRandom(1), -1e6, peer -> true, (to, message) -> sent.add(message));
        LeaseHandle holds = new LeaseHandle() {
            @Override
            public long permit(double nowMs, double actionMs) {
                return 9;
            }

            @Override
            public double remainingMs(double nowMs) {
                return 1e6;
            }

            @Override
            public long holder(double nowMs) {
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
        manager.configure(List.of(spec), List.of(holds), List.of(1L, 2L, 3L), 3, false, true, 0);
        manager.tick(0);
        double allocatesFromMs = TIMING.takeoverWaitMs(spec) + 1;
        assertThat(largestGrant(manager, sent, 2, allocatesFromMs)).isEqualTo(100);
        manager.configure(List.of(), List.of(holds), List.of(1L, 2L, 3L), 3, false, true, allocatesFromMs + 10);
        manager.configure(List.of(spec), List.of(holds), List.of(1L, 2L, 3L), 3, false, true, allocatesFromMs + 20);
        assertThat(largestGrant(manager, sent, 3, allocatesFromMs + 30)).isZero();
        assertThat(largestGrant(manager, sent, 3, allocatesFromMs + TIMING.outstandingMs(spec) + 30))
                .isEqualTo(100);
    }

    /** Returns the largest amount that an allocator grants to a peer that requests the whole quota. */
    private static double largestGrant(QuotaManager manager, List<QuotaMessage> sent, long to, double nowMs) {
        sent.clear();
        manager.receive(
                nowMs,
                to,
                new QuotaMessage(
                        QuotaMessage.Kind.REQUEST,
                        to,
                        (long) nowMs,
                        0,
                        List.of(new QuotaMessage.Entry(NameHash.of("l"), 100))));
        manager.tick(nowMs);
        return sent.stream()
                .filter(message -> message.kind() == QuotaMessage.Kind.GRANT)
                .mapToDouble(message -> message.entries().get(0).amount())
                .max()
                .orElseThrow();
    }

    /** Shares decrease immediately, and increase only after others can no longer spend them. */
    @Test
    void sharesNeverExceedTheLimitWhileThePeerListChanges() {
        QuotaSpec spec = new QuotaSpec("l", false, 120, 0, QuotaSpec.IsolationPolicy.SHARE, 1, 0);
        LocalQuota stays = new LocalQuota(spec, TIMING, -1e6);
        LocalQuota joins = new LocalQuota(spec, TIMING, -1e6);
        stays.configure(spec, spec.staticShare(2), 0); // two proxies with 60 each
        assertThat(stays.owned(0)).isEqualTo(60);
        stays.configure(
                spec, spec.staticShare(3), 100); // both lists: three proxies, of which the new one has no share yet
        joins.configure(spec, 0, 100);
        assertThat(stays.owned(100)).isEqualTo(40);
        assertThat(joins.owned(100)).isZero();
        joins.configure(spec, spec.staticShare(3), 200); // the new list alone
        assertThat(joins.owned(201)).isZero();
        assertThat(joins.owned(201 + TIMING.donationWithheldMs(spec))).isEqualTo(40);
        stays.configure(spec, spec.staticShare(2), 5000); // one proxy has left: the increase is delayed
        assertThat(stays.owned(5001)).isEqualTo(40);
        assertThat(stays.owned(5001 + TIMING.donationWithheldMs(spec))).isEqualTo(60);
        QuotaSpec lower = new QuotaSpec("l", false, 60, 0, QuotaSpec.IsolationPolicy.SHARE, 1, 0);
        stays.configure(lower, lower.staticShare(2), 9000);
        assertThat(stays.owned(9000)).as("a lower quota applies at once").isEqualTo(30);
    }
}
