package cacheproxy.fleet.lease;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One seeded random walk of a {@link LeaseWorld} on virtual time. Clocks drift to the bound; messages are lost,
 * duplicated, delayed and cut off one way; processes pause, and restart without their state. Then the faults end, and
 * the fleet must recover.
 */
final class LeaseWalk {
    static final double LEASE_MS = 1000;
    /** How long faults are injected. */
    private static final double FAULTS_MS = 12_000;
    /** Enough for a voter's silence, a lease, the delay of the last rank and two attempts. */
    private static final double RECOVERY_MS = 6_000;

    private static final double FIRST_FAULT_MS = 2000;
    private static final double USUAL_MAX_DELAY_MS = 5;

    /**
     * What to walk.
     *
     * @param peerListSteps the steps in which the list of peers is replaced by one that shares two of its five peers;
     *     0: it is not replaced
     * @param checkIntervalMs the shortest time between two checks of all leases; 0: after each event
     */
    record Options(
            LeaseTiming timing,
            long seed,
            int processes,
            List<String> leaseNames,
            boolean faultsInjected,
            int peerListSteps,
            double checkIntervalMs) {}

    /** What was seen, up to the first violation. */
    record Result(int gains, long messages, List<String> violations, double longestUnheldMs) {}

    private final Options options;
    private final int count;
    private final SplittableRandom random;
    private final LeaseWorld world;
    private final boolean[][] cut;
    private double lossRate;
    private double maxDelayMs = USUAL_MAX_DELAY_MS;
    private double nextFaultMs;
    private double nextTickMs;
    private double nextCheckMs;
    private boolean calm;
    private double unheldSinceMs = -1;
    private double longestUnheldMs;

    private LeaseWalk(Options options) {
        this.options = options;
        count = options.processes();
        random = new SplittableRandom(options.seed());
        world = new LeaseWorld(options.timing(), LEASE_MS, count, options.leaseNames());
        if (options.peerListSteps() > 0) {
            world.stage = new int[count];
            world.oldList = List.of("p1", "p2", "p3", "p4", "p5");
            world.newList = List.of("p4", "p5", "p6", "p7", "p8");
        }
        cut = new boolean[count][count];
        world.network = this::send;
        nextFaultMs = options.faultsInjected() ? FIRST_FAULT_MS : Double.POSITIVE_INFINITY;
    }

    static Result run(Options options) {
        return new LeaseWalk(options).run();
    }

    private void send(int from, int to, byte[] bytes) {
        world.mailCount++;
        if (cut[from][to] || random.nextDouble() < lossRate) {
            return;
        }
        for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
            double atMs = world.nowMs + 0.2 + random.nextDouble() * maxDelayMs;
            world.mail.add(new LeaseWorld.Mail(atMs, world.mailCount * 2 + copies, from, to, bytes));
        }
    }

    private Result run() {
        for (LeaseWorld.Member process : world.processes) {
            process.rate = 1 + LeaseTiming.MAX_CLOCK_DRIFT * (random.nextInt(3) - 1) * 0.999;
            process.zeroMs = random.nextDouble() * 1e6;
            process.start(random.split());
        }
        while (world.nowMs < FAULTS_MS + RECOVERY_MS && world.violations().isEmpty()) {
            nextEvent();
            if (!calm && world.nowMs >= FAULTS_MS) {
                endFaults();
            }
            if (world.nowMs >= nextCheckMs) {
                nextCheckMs = options.checkIntervalMs() == 0 ? 0 : world.nowMs + options.checkIntervalMs();
                check();
            }
        }
        boolean allHeld = options.leaseNames().stream().allMatch(world::held);
        if (world.violations().isEmpty() && !allHeld) {
            world.reportViolation("nobody holds a lease " + RECOVERY_MS + " ms after the end of the faults");
        }
        return new Result(world.gains, world.mailCount, world.violations(), longestUnheldMs);
    }

    private void nextEvent() {
        LeaseWorld.Mail next = world.mail.peek();
        double mailMs = next == null ? Double.POSITIVE_INFINITY : next.atMs();
        double atMs = Math.min(Math.min(nextTickMs, nextFaultMs), mailMs);
        world.nowMs = atMs;
        if (mailMs <= atMs) {
            world.deliver(world.mail.remove());
        } else if (nextTickMs <= atMs) {
            world.processes.forEach(LeaseWorld.Member::tick);
            nextTickMs = atMs + 4 + random.nextDouble() * 4;
        } else {
            nextFaultMs = atMs + 100 + random.nextDouble() * 900;
            injectFault();
            if (options.peerListSteps() > 0) {
                changePeerLists();
            }
        }
    }

    private void injectFault() {
        LeaseWorld.Member process = world.processes.get(random.nextInt(count));
        switch (random.nextInt(9)) {
            case 0 -> process.paused = !process.paused;
            case 1 -> process.down = true;
            case 2, 3 -> restartStopped();
            case 4 -> cutOff(process.index);
            case 5 -> healLinks();
            case 6 -> {
                lossRate = random.nextInt(3) * 0.3;
                maxDelayMs = random.nextInt(4) == 0 ? 2500 : USUAL_MAX_DELAY_MS;
            }
            case 7 -> world.processes.forEach(other -> other.paused = false);
            default -> {
                if (random.nextInt(4) == 0) {
                    world.processes.forEach(other -> other.start(random.split())); // all at once, without state
                } else {
                    world.stepWall((random.nextInt(3) - 1) * 500);
                }
            }
        }
    }

    private void restartStopped() {
        world.processes.stream().filter(other -> other.down).forEach(other -> other.start(random.split()));
    }

    private void cutOff(int index) {
        for (int i = 0; i < count; i++) {
            cut[index][i] = random.nextBoolean();
            cut[i][index] = random.nextInt(3) == 0;
        }
    }

    private void healLinks() {
        Arrays.stream(cut).forEach(row -> Arrays.fill(row, false));
    }

    /**
     * Each process takes the next list at its own time; in two steps, the second only after all have taken the first.
     */
    private void changePeerLists() {
        for (int changes = 0; changes < 2; changes++) {
            int i = random.nextInt(world.stage.length);
            if (options.peerListSteps() == 1 && world.stage[i] == 0) {
                world.advance(i, 2);
            } else if (world.stage[i] == 0
                    || (world.stage[i] == 1 && Arrays.stream(world.stage).allMatch(stage -> stage > 0))) {
                world.advance(i, world.stage[i] + 1);
            }
        }
    }

    private void endFaults() {
        calm = true;
        for (int i = 0; options.peerListSteps() > 0 && i < count; i++) {
            world.advance(i, 2);
        }
        nextFaultMs = Double.POSITIVE_INFINITY;
        healLinks();
        lossRate = 0;
        maxDelayMs = USUAL_MAX_DELAY_MS;
        for (LeaseWorld.Member process : world.processes) {
            process.paused = false;
            if (process.down) {
                process.start(random.split());
            }
        }
    }

    private void check() {
        world.check();
        if (options.leaseNames().stream().allMatch(world::held)) {
            unheldSinceMs = -1;
        } else if (unheldSinceMs < 0) {
            unheldSinceMs = world.nowMs;
        }
        if (calm && unheldSinceMs >= 0) {
            longestUnheldMs = Math.max(longestUnheldMs, world.nowMs - Math.max(FAULTS_MS, unheldSinceMs));
        }
    }
}
