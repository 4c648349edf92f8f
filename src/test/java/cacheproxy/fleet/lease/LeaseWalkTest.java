package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Many {@link LeaseWalk random walks}: two processes must never be holders of one lease at once, and walks with planted
 * defects must show that. For longer runs: {@code -Dlease.schedules=20000}, {@code -Dlease.large=4}.
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
        System.out.println("lists changed in one step: " + found + " of 20 walks found it");
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
        long mails = 0;
        double longest = 0;
        for (int seed = 0; seed < WALKS; seed++) {
            LeaseWalk.Result walked = walk(
                    CORRECT_TIMING,
                    seed,
                    3 + seed % 4 * 2,
                    seed % 2 == 0 ? List.of("a") : List.of("a", "b", "c"),
                    true);
            assertThat(walked.violations()).as("seed " + seed).isEmpty();
            gains += walked.gains();
            mails += walked.messages();
            longest = Math.max(longest, walked.longestUnheldMs());
        }
        assertThat(gains).as("leases moved").isGreaterThan(WALKS * 2);
        System.out.printf(
                "walks %d, gains %d, messages %d, longest without a holder once calm %.0f ms%n",
                WALKS, gains, mails, longest);
    }

    /** A hundred proxies and two hundred leases, checked every 25 ms: {@code -Dlease.large=N} of them. */
    @Test
    void aHundredProxiesNeverHaveTwoHoldersOfAnyOfTwoHundredLeases() {
        List<String> names =
                java.util.stream.IntStream.range(0, 200).mapToObj(i -> "d" + i).toList();
        int gains = 0;
        long mails = 0;
        double longest = 0;
        for (int seed = 0; seed < LARGE_WALKS; seed++) {
            LeaseWalk.Result walked =
                    LeaseWalk.run(new LeaseWalk.Options(CORRECT_TIMING, seed, 100, names, true, 0, 25));
            assertThat(walked.violations()).as("seed " + seed).isEmpty();
            gains += walked.gains();
            mails += walked.messages();
            longest = Math.max(longest, walked.longestUnheldMs());
        }
        System.out.printf(
                "large walks %d, gains %d, messages %d, longest without a holder once calm %.0f ms%n",
                LARGE_WALKS, gains, mails, longest);
    }

    @Test
    void wallClockStepsMoveNoLeaseAndEpochsGrow() {
        LeaseWorld world = new LeaseWorld(CORRECT_TIMING, LEASE_MS, 5, List.of("a"));
        SplittableRandom random = new SplittableRandom(3);
        world.network = (from, to, bytes) -> world.mail.add(
                new LeaseWorld.Mail(world.nowMs + random.nextDouble() * 3, world.mailCount++, from, to, bytes));
        world.processes.forEach(process -> process.start(random.split()));
        double[] steps = {0, 3_600_000, -3_600_000, 3_600_000, 0};
        for (int round = 0; round < 2 * steps.length; round++) {
            boolean takeover = round % 2 == 1;
            world.stepWall(steps[round / 2]);
            int gains = world.gains;
            if (takeover) {
                world.processes.stream()
                        .filter(process -> process.isHolding("a"))
                        .forEach(process -> process.paused = true);
            }
            world.run(4000);
            world.processes.forEach(process -> process.paused = false);
            assertThat(world.violations()).isEmpty(); // among them epochs that do not grow
            assertThat(world.held("a")).isTrue();
            assertThat(world.gains - gains).as("round " + round).isEqualTo(takeover || round == 0 ? 1 : 0);
        }
    }

    @Test
    void leaseStaysWithItsHolderWithoutFaults() {
        List<String> names = List.of("a", "b", "c", "d", "e", "f", "g", "h");
        LeaseWalk.Result walked = walk(CORRECT_TIMING, 5, 9, names, false);
        assertThat(walked.violations()).isEmpty();
        assertThat(walked.gains()).isEqualTo(names.size());
    }

    @Test
    void findsEachPlantedDefect() {
        Map<String, LeaseTiming> planted = new HashMap<>();
        planted.put("no silence after a restart", new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
            @Override
            public double startupSilenceMs() {
                return 0;
            }
        });
        planted.put(
                "the holder's lease as long as the voters'", new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
                    @Override
                    public double holderLeaseMs(double leaseMs) {
                        return voterLeaseMs(leaseMs);
                    }
                });
        planted.put("the epoch kept by the candidate", new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
            @Override
            public long nextEpoch(long seen, long wallMs) {
                return seen;
            }
        });
        planted.put("the lease by the wall clock", new LeaseWorld.ByWallClock(LEASE_MS));
        planted.put("the check in a timer, not before the act", new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
            @Override
            public boolean permitsAction(double now, double untilMs, double actMs) {
                return true;
            }
        });
        assertThat(firstViolations(CORRECT_TIMING, 60)).as("nothing planted").isEmpty();
        List<String> missed = new ArrayList<>();
        planted.forEach((defect, timing) -> {
            List<String> found = firstViolations(timing, 60);
            System.out.println("planted: " + defect + ": " + found);
            if (found.isEmpty()) {
                missed.add(defect);
            }
        });
        assertThat(missed).isEmpty();
    }
}
