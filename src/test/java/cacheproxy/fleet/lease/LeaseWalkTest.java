package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Walks by lot on virtual time: processes with clocks that drift to the bound, messages that are lost, doubled, late,
 * cut off one way, processes that stand still, restart with nothing, all at once too. More of them:
 * {@code -Dlease.schedules=20000}.
 */
class LeaseWalkTest {
    private static final double LEASE = 1000;
    private static final int SCHEDULES = Integer.getInteger("lease.schedules", 300);
    private static final int LARGE = Integer.getInteger("lease.large", 0);
    private static final double TROUBLE_MS = 12_000;
    /** After the troubles' end somebody holds each duty within: silence, lease, the last one's wait and two tries. */
    private static final double CALM_MS = 6_000;

    private static final LeaseTiming SOUND = new LeaseTiming(LEASE, LeaseTiming.DRIFT);

    private record Walked(int gains, long mails, List<String> faults, double longestIdleMs) {}

    private static Walked walk(LeaseTiming rules, long seed, int count, List<String> names, boolean trouble) {
        return walk(rules, seed, count, names, trouble, 0);
    }

    /** @param steps in which the list of peers is changed to one that shares two of five with it; 0: it is not */
    private static Walked walk(
            LeaseTiming rules, long seed, int count, List<String> names, boolean trouble, int steps) {
        return walk(rules, seed, count, names, trouble, steps, 0);
    }

    /** @param judgedMs the least time between two looks at all duties; 0: after each event */
    private static Walked walk(
            LeaseTiming rules, long seed, int count, List<String> names, boolean trouble, int steps, double judgedMs) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseWorld w = new LeaseWorld(rules, LEASE, count, names);
        if (steps > 0) {
            w.stage = new int[count];
            w.oldList = List.of("p1", "p2", "p3", "p4", "p5");
            w.newList = List.of("p4", "p5", "p6", "p7", "p8");
        }
        boolean[][] cut = new boolean[count][count];
        double[] loss = {0};
        double[] late = {5};
        w.sent = (from, to, bytes) -> {
            w.mails++;
            if (cut[from][to] || random.nextDouble() < loss[0]) {
                return;
            }
            for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                w.mail.add(new LeaseWorld.Mail(
                        w.now + 0.2 + random.nextDouble() * late[0], w.mails * 2 + copies, from, to, bytes));
            }
        };
        for (LeaseWorld.Process p : w.processes) {
            p.rate = 1 + LeaseTiming.DRIFT * (random.nextInt(3) - 1) * 0.999;
            p.zero = random.nextDouble() * 1e6;
            p.start(random.split());
        }
        double nextTrouble = trouble ? 2000 : Double.POSITIVE_INFINITY;
        double idleSince = -1;
        double longest = 0;
        double end = TROUBLE_MS + CALM_MS;
        boolean calm = false;
        double nextTick = 0;
        double nextJudge = 0;
        while (w.now < end && w.faults().isEmpty()) {
            LeaseWorld.Mail m = w.mail.peek();
            double at = Math.min(Math.min(nextTick, nextTrouble), m == null ? Double.POSITIVE_INFINITY : m.atMs());
            w.now = at;
            if (m != null && m.atMs() <= at) {
                w.mail.poll();
                w.processes.get(m.to()).heard(m.from(), m.bytes());
            } else if (nextTick <= at) {
                w.processes.forEach(LeaseWorld.Process::tick);
                nextTick = at + 4 + random.nextDouble() * 4;
            } else {
                nextTrouble = at + 100 + random.nextDouble() * 900;
                befall(w, cut, loss, late, random);
                if (steps > 0) {
                    changeList(w, steps, random);
                }
            }
            if (!calm && w.now >= TROUBLE_MS) {
                calm = true;
                for (int i = 0; steps > 0 && i < count; i++) {
                    w.advance(i, 2);
                }
                nextTrouble = Double.POSITIVE_INFINITY;
                Arrays.stream(cut).forEach(row -> Arrays.fill(row, false));
                loss[0] = 0;
                late[0] = 5;
                for (LeaseWorld.Process p : w.processes) {
                    p.paused = false;
                    if (p.down) {
                        p.start(random.split());
                    }
                }
            }
            if (w.now < nextJudge) {
                continue;
            }
            nextJudge = judgedMs == 0 ? 0 : w.now + judgedMs;
            w.judge();
            boolean held = names.stream().allMatch(w::held);
            idleSince = held ? -1 : idleSince < 0 ? w.now : idleSince;
            longest = Math.max(longest, idleSince < 0 || !calm ? 0 : w.now - Math.max(TROUBLE_MS, idleSince));
        }
        if (w.faults().isEmpty() && !names.stream().allMatch(w::held)) {
            w.fault("nobody holds a duty " + CALM_MS + " ms after the troubles' end");
        }
        return new Walked(w.gains, w.mails, w.faults(), longest);
    }

    /** Each process takes the next list at its own time: the last only when all have the one between, or without it. */
    private static void changeList(LeaseWorld w, int steps, SplittableRandom random) {
        for (int n = 0; n < 2; n++) {
            int i = random.nextInt(w.stage.length);
            if (steps == 1 && w.stage[i] == 0) {
                w.advance(i, 2);
            } else if (w.stage[i] == 0
                    || w.stage[i] == 1 && Arrays.stream(w.stage).allMatch(s -> s > 0)) {
                w.advance(i, w.stage[i] + 1);
            }
        }
    }

    @Test
    void aListThatChangesInTwoStepsNeverHasTwoHoldersAndInOneItHas() {
        for (int seed = 0; seed < SCHEDULES / 6; seed++) {
            assertThat(walk(SOUND, seed, 8, List.of("a", "b"), true, 2).faults())
                    .as("seed " + seed)
                    .isEmpty();
        }
        int found = 0;
        for (int seed = 0; seed < 20; seed++) {
            found += walk(SOUND, seed, 8, List.of("a", "b"), true, 1).faults().isEmpty() ? 0 : 1;
        }
        System.out.println("lists changed in one step: " + found + " of 20 walks found it");
        assertThat(found).isGreaterThan(0);
    }

    private static void befall(LeaseWorld w, boolean[][] cut, double[] loss, double[] late, SplittableRandom random) {
        int count = w.processes.size();
        LeaseWorld.Process p = w.processes.get(random.nextInt(count));
        switch (random.nextInt(9)) {
            case 0 -> p.paused = !p.paused;
            case 1 -> p.down = true;
            case 2, 3 -> w.processes.stream().filter(x -> x.down).forEach(x -> x.start(random.split()));
            case 4 -> {
                for (int i = 0; i < count; i++) {
                    cut[p.index][i] = random.nextBoolean();
                    cut[i][p.index] = random.nextInt(3) == 0;
                }
            }
            case 5 -> Arrays.stream(cut).forEach(row -> Arrays.fill(row, false));
            case 6 -> {
                loss[0] = random.nextInt(3) * 0.3;
                late[0] = random.nextInt(4) == 0 ? 2500 : 5;
            }
            case 7 -> w.processes.forEach(x -> x.paused = false);
            default -> {
                if (random.nextInt(4) == 0) {
                    w.processes.forEach(x -> x.start(random.split())); // all at once, with nothing
                } else {
                    w.stepWall((random.nextInt(3) - 1) * 500); // the wall clock is stepped back and forth
                }
            }
        }
    }

    private static List<String> firstFault(LeaseTiming rules, int most) {
        for (int seed = 0; seed < most; seed++) {
            List<String> faults = walk(rules, seed, 5, List.of("a", "b"), true).faults();
            if (!faults.isEmpty()) {
                return faults;
            }
        }
        return List.of();
    }

    @Test
    void neverTwoThatMayActNoEpochTwiceAndSomebodyOnceItIsCalm() {
        int gains = 0;
        long mails = 0;
        double longest = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            Walked walked =
                    walk(SOUND, seed, 3 + seed % 4 * 2, seed % 2 == 0 ? List.of("a") : List.of("a", "b", "c"), true);
            assertThat(walked.faults()).as("seed " + seed).isEmpty();
            gains += walked.gains();
            mails += walked.mails();
            longest = Math.max(longest, walked.longestIdleMs());
        }
        assertThat(gains).as("duties moved").isGreaterThan(SCHEDULES * 2);
        System.out.printf(
                "walks %d, gains %d, messages %d, longest without a holder once calm %.0f ms%n",
                SCHEDULES, gains, mails, longest);
    }

    /** A hundred proxies and two hundred duties, looked at every 25 ms: {@code -Dlease.large=N} of them. */
    @Test
    void aHundredProxiesWithTwoHundredDutiesHaveOneHolderOfEach() {
        List<String> names =
                java.util.stream.IntStream.range(0, 200).mapToObj(i -> "d" + i).toList();
        int gains = 0;
        long mails = 0;
        double longest = 0;
        for (int seed = 0; seed < LARGE; seed++) {
            Walked walked = walk(SOUND, seed, 100, names, true, 0, 25);
            assertThat(walked.faults()).as("seed " + seed).isEmpty();
            gains += walked.gains();
            mails += walked.mails();
            longest = Math.max(longest, walked.longestIdleMs());
        }
        System.out.printf(
                "large walks %d, gains %d, messages %d, longest without a holder once calm %.0f ms%n",
                LARGE, gains, mails, longest);
    }

    @Test
    void aWallClockThatStepsAnHourBothWaysMovesNothingAndEpochsGrow() {
        LeaseWorld w = new LeaseWorld(SOUND, LEASE, 5, List.of("a"));
        SplittableRandom random = new SplittableRandom(3);
        w.sent = (from, to, bytes) ->
                w.mail.add(new LeaseWorld.Mail(w.now + random.nextDouble() * 3, w.mails++, from, to, bytes));
        w.processes.forEach(p -> p.start(random.split()));
        double[] steps = {0, 3_600_000, -3_600_000, 3_600_000, 0};
        for (int round = 0; round < 2 * steps.length; round++) {
            boolean takeover = round % 2 == 1;
            w.stepWall(steps[round / 2]);
            int gains = w.gains;
            if (takeover) {
                w.processes.stream().filter(p -> p.mayAct("a")).forEach(p -> p.paused = true);
            }
            for (double end = w.now + 4000; w.now < end; w.now += 1) {
                while (!w.mail.isEmpty() && w.mail.peek().atMs() <= w.now) {
                    LeaseWorld.Mail m = w.mail.poll();
                    w.processes.get(m.to()).heard(m.from(), m.bytes());
                }
                w.processes.forEach(LeaseWorld.Process::tick);
                w.judge();
            }
            w.processes.forEach(p -> p.paused = false);
            assertThat(w.faults()).isEmpty(); // an epoch out of order is one
            assertThat(w.held("a")).isTrue();
            assertThat(w.gains - gains).as("round " + round).isEqualTo(takeover || round == 0 ? 1 : 0);
        }
    }

    @Test
    void withoutFaultsADutyStaysWhereItIs() {
        List<String> names = List.of("a", "b", "c", "d", "e", "f", "g", "h");
        Walked walked = walk(SOUND, 5, 9, names, false);
        assertThat(walked.faults()).isEmpty();
        assertThat(walked.gains()).isEqualTo(names.size());
    }

    @Test
    void eachPlantedFaultIsFound() {
        Map<String, LeaseTiming> planted = new HashMap<>();
        planted.put("no silence after a restart", new LeaseTiming(LEASE, LeaseTiming.DRIFT) {
            @Override
            public double silenceMs() {
                return 0;
            }
        });
        planted.put("the holder's lease as long as the voters'", new LeaseTiming(LEASE, LeaseTiming.DRIFT) {
            @Override
            public double holderMs(double leaseMs) {
                return voterMs(leaseMs);
            }
        });
        planted.put("the epoch kept by the candidate", new LeaseTiming(LEASE, LeaseTiming.DRIFT) {
            @Override
            public long epoch(long seen, long wallMs) {
                return seen;
            }
        });
        planted.put("the lease by the wall clock", new LeaseWorld.ByWallClock(LEASE));
        planted.put("the check in a timer, not before the act", new LeaseTiming(LEASE, LeaseTiming.DRIFT) {
            @Override
            public boolean mayAct(double now, double untilMs, double actMs) {
                return true;
            }
        });
        assertThat(firstFault(SOUND, 60)).as("nothing planted").isEmpty();
        List<String> missed = new ArrayList<>();
        planted.forEach((what, rules) -> {
            List<String> found = firstFault(rules, 60);
            System.out.println("planted: " + what + ": " + found);
            if (found.isEmpty()) {
                missed.add(what);
            }
        });
        assertThat(missed).isEmpty();
    }
}
