package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Many {@link LeaseWalk random walks}: two processes must never hold the same lease at the same time, and walks with
 * injected defects must detect this violation. For longer runs: {@code -Dlease.schedules=20000},
 * {@code -Dlease.large=4}.
 */
class LeaseWalkTest {
    private static final int WALKS = Integer.getInteger("lease.schedules", 300);
    private static final int LARGE_WALKS = Integer.getInteger("lease.large", 0);
    private static final double LEASE_MS = LeaseWalk.LEASE_MS;
    private static final LeaseTiming CORRECT_TIMING = new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT);

    private static LeaseWalk.Result walk(
            LeaseTiming timing, long seed, int count, List<String> names, boolean faultsInjected) {
        return LeaseWalk.run(new LeaseWalk.Options(timing, seed, count, names, faultsInjected, 0, 0));
    }

    private static LeaseWalk.Result walkWithNewPeers(long seed, int steps) {
        return LeaseWalk.run(new LeaseWalk.Options(CORRECT_TIMING, seed, 8, List.of("a", "b"), true, steps, 0));
    }

    @Test
    void changingPeersInTwoStepsIsSafeAndInOneStepIsNot() {
        for (int seed = 0; seed < WALKS / 6; seed++) {
            assertThat(walkWithNewPeers(seed, 2).violations())
                    .as("seed " + seed)
                    .isEmpty();
        }
        int found = 0;
        for (int seed = 0; seed < 20; seed++) {
            found += walkWithNewPeers(seed, 1).violations().isEmpty() ? 0 : 1;
        }
        System.out.println("lists changed in one step: " + found + " of 20 walks found a violation");
        assertThat(found).isGreaterThan(0);
    }

    private static List<String> firstViolations(LeaseTiming timing, int maxWalks) {
        for (int seed = 0; seed < maxWalks; seed++) {
            List<String> violations =
                    walk(timing, seed, 5, List.of("a", "b"), true).violations();
            if (!violations.isEmpty()) {
                return violations;
            }
        }
        return List.of();
    }

    @Test
    void neverHasTwoHoldersNorRepeatsAnEpochAndRecoversAfterFaults() {
        int gains = 0;
        long messages = 0;
        double longestUnheldMs = 0;
        for (int seed = 0; seed < WALKS; seed++) {
            LeaseWalk.Result result = walk(
                    CORRECT_TIMING,
                    seed,
                    3 + seed % 4 * 2,
                    seed % 2 == 0 ? List.of("a") : List.of("a", "b", "c"),
                    true);
            assertThat(result.violations()).as("seed " + seed).isEmpty();
            gains += result.gains();
            messages += result.messages();
            longestUnheldMs = Math.max(longestUnheldMs, result.longestUnheldMs());
        }
        assertThat(gains).as("changes of holders").isGreaterThan(WALKS * 2);
        System.out.printf(
                "walks %d, gains %d, messages %d, longest without a holder once calm %.0f ms%n",
                WALKS, gains, messages, longestUnheldMs);
    }

    /**
     * Walks with a hundred proxies and two hundred leases, checked every 25 ms; {@code -Dlease.large=N} sets their
     * number.
     */
    @Test
    void aHundredProxiesNeverHaveTwoHoldersOfAnyOfTwoHundredLeases() {
        List<String> names =
                java.util.stream.IntStream.range(0, 200).mapToObj(i -> "d" + i).toList();
        int gains = 0;
        long messages = 0;
        double longestUnheldMs = 0;
        for (int seed = 0; seed < LARGE_WALKS; seed++) {
            LeaseWalk.Result result =
                    LeaseWalk.run(new LeaseWalk.Options(CORRECT_TIMING, seed, 100, names, true, 0, 25));
            assertThat(result.violations()).as("seed " + seed).isEmpty();
            gains += result.gains();
            messages += result.messages();
            longestUnheldMs = Math.max(longestUnheldMs, result.longestUnheldMs());
        }
        System.out.printf(
                "large walks %d, gains %d, messages %d, longest without a holder once calm %.0f ms%n",
                LARGE_WALKS, gains, messages, longestUnheldMs);
    }

    @Test
    void wallClockStepsMoveNoLeaseAndEpochsGrow() {
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(CORRECT_TIMING, LEASE_MS, 5, List.of("a"));
        SplittableRandom random = new SplittableRandom(3);
        fleet.network = (from, to, bytes) -> fleet.datagrams.add(new SimulatedLeaseFleet.Datagram(
                fleet.nowMs + random.nextDouble() * 3, fleet.datagramCount++, from, to, bytes));
        fleet.processes.forEach(process -> process.start(random.split()));
        double[] steps = {0, 3_600_000, -3_600_000, 3_600_000, 0};
        for (int round = 0; round < 2 * steps.length; round++) {
            boolean takeover = round % 2 == 1;
            fleet.stepWallClocks(steps[round / 2]);
            int gains = fleet.gains;
            if (takeover) {
                fleet.processes.stream()
                        .filter(process -> process.isHolding("a"))
                        .forEach(process -> process.paused = true);
            }
            fleet.run(4000);
            fleet.processes.forEach(process -> process.paused = false);
            assertThat(fleet.violations()).isEmpty(); // violations include epochs that do not grow
            assertThat(fleet.isHeld("a")).isTrue();
            assertThat(fleet.gains - gains).as("round " + round).isEqualTo(takeover || round == 0 ? 1 : 0);
        }
    }

    @Test
    void leaseStaysWithItsHolderWithoutFaults() {
        List<String> names = List.of("a", "b", "c", "d", "e", "f", "g", "h");
        LeaseWalk.Result result = walk(CORRECT_TIMING, 5, 9, names, false);
        assertThat(result.violations()).isEmpty();
        assertThat(result.gains()).isEqualTo(names.size());
    }

    @Test
    void detectsEachInjectedDefect() {
        Map<String, LeaseTiming> defects = new HashMap<>();
        defects.put("a restarted voter is not silent", new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
            @Override
            public double startupSilenceMs() {
                return 0;
            }
        });
        defects.put(
                "the holder's lease lasts as long as the voters' grants",
                new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
                    @Override
                    public double holderLeaseMs(double leaseMs) {
                        return voterLeaseMs(leaseMs);
                    }
                });
        defects.put("the candidate reuses the highest epoch", new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
            @Override
            public long nextEpoch(long highestEpoch, long wallMs) {
                return highestEpoch;
            }
        });
        defects.put(
                "the holder measures its lease by the wall clock", new SimulatedLeaseFleet.WallClockTiming(LEASE_MS));
        defects.put(
                "the lease is checked by a timer, not before each action",
                new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
                    @Override
                    public boolean permitsAction(double nowMs, double untilMs, double actionMs) {
                        return true;
                    }
                });
        assertThat(firstViolations(CORRECT_TIMING, 60)).as("without a defect").isEmpty();
        List<String> missed = new ArrayList<>();
        defects.forEach((defect, timing) -> {
            List<String> found = firstViolations(timing, 60);
            System.out.println("injected defect: " + defect + ": " + found);
            if (found.isEmpty()) {
                missed.add(defect);
            }
        });
        assertThat(missed).isEmpty();
    }
}
