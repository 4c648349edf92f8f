package cacheproxy.fleet.lease;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One seeded random walk of a {@link SimulatedLeaseFleet} in virtual time. Clocks drift up to the bound; messages are
 * lost, duplicated, delayed and blocked in one direction; processes pause, and restart without their state. Then the
 * faults end, and the fleet must recover.
 */
final class LeaseWalk {
    static final double LEASE_MS = 1000;
    /** How long faults are injected. */
    private static final double FAULTS_MS = 12_000;
    /** Long enough for a voter's silence, a lease, the delay of the last rank and two attempts. */
    private static final double RECOVERY_MS = 6_000;

    private static final double FIRST_FAULT_MS = 2000;
    private static final double USUAL_MAX_DELAY_MS = 5;

    /**
     * The options of a walk.
     *
     * @param peerListSteps the number of steps in which the list of peers is replaced by one that shares two of its
     *     five peers; 0 if it is not replaced
     * @param checkIntervalMs the minimum time between two checks of all leases; 0 to check after each event
     */
    record Options(
            LeaseTiming timing,
            long seed,
            int processes,
            List<String> leaseNames,
            boolean faultsInjected,
            int peerListSteps,
            double checkIntervalMs) {}

    /** The observations of a walk, up to the first violation. */
    record Result(int gains, long messages, List<String> violations, double longestUnheldMs) {}

    private final Options options;
    private final int count;
    private final SplittableRandom random;
    private final SimulatedLeaseFleet fleet;
    private final boolean[][] blockedLinks;
    private double lossRate;
    private double maxDelayMs = USUAL_MAX_DELAY_MS;
    private double nextFaultMs;
    private double nextTickMs;
    private double nextCheckMs;
    private boolean faultsEnded;
    private double unheldSinceMs = -1;
    private double longestUnheldMs;

    private LeaseWalk(Options options) {
        this.options = options;
        count = options.processes();
        random = new SplittableRandom(options.seed());
        fleet = new SimulatedLeaseFleet(options.timing(), LEASE_MS, count, options.leaseNames());
        if (options.peerListSteps() > 0) {
            fleet.peerListStage = new int[count];
            fleet.oldList = List.of("p1", "p2", "p3", "p4", "p5");
            fleet.newList = List.of("p4", "p5", "p6", "p7", "p8");
        }
        blockedLinks = new boolean[count][count];
        fleet.network = this::send;
        nextFaultMs = options.faultsInjected() ? FIRST_FAULT_MS : Double.POSITIVE_INFINITY;
    }

    static Result run(Options options) {
        return new LeaseWalk(options).run();
    }

    private void send(int from, int to, byte[] bytes) {
        fleet.datagramCount++;
        if (blockedLinks[from][to] || random.nextDouble() < lossRate) {
            return;
        }
        for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
            double atMs = fleet.nowMs + 0.2 + random.nextDouble() * maxDelayMs;
            fleet.datagrams.add(
                    new SimulatedLeaseFleet.Datagram(atMs, fleet.datagramCount * 2 + copies, from, to, bytes));
        }
    }

    private Result run() {
        for (SimulatedLeaseFleet.SimulatedProcess process : fleet.processes) {
            process.clockRate = 1 + LeaseTiming.MAX_CLOCK_DRIFT * (random.nextInt(3) - 1) * 0.999;
            process.clockOffsetMs = random.nextDouble() * 1e6;
            process.start(random.split());
        }
        while (fleet.nowMs < FAULTS_MS + RECOVERY_MS && fleet.violations().isEmpty()) {
            nextEvent();
            if (!faultsEnded && fleet.nowMs >= FAULTS_MS) {
                endFaults();
            }
            if (fleet.nowMs >= nextCheckMs) {
                nextCheckMs = options.checkIntervalMs() == 0 ? 0 : fleet.nowMs + options.checkIntervalMs();
                check();
            }
        }
        boolean allHeld = options.leaseNames().stream().allMatch(fleet::isHeld);
        if (fleet.violations().isEmpty() && !allHeld) {
            fleet.reportViolation("nobody holds a lease " + RECOVERY_MS + " ms after the faults ended");
        }
        return new Result(fleet.gains, fleet.datagramCount, fleet.violations(), longestUnheldMs);
    }

    private void nextEvent() {
        SimulatedLeaseFleet.Datagram next = fleet.datagrams.peek();
        double datagramMs = next == null ? Double.POSITIVE_INFINITY : next.atMs();
        double atMs = Math.min(Math.min(nextTickMs, nextFaultMs), datagramMs);
        fleet.nowMs = atMs;
        if (datagramMs <= atMs) {
            fleet.deliver(fleet.datagrams.remove());
        } else if (nextTickMs <= atMs) {
            fleet.processes.forEach(SimulatedLeaseFleet.SimulatedProcess::tick);
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
        SimulatedLeaseFleet.SimulatedProcess process = fleet.processes.get(random.nextInt(count));
        switch (random.nextInt(9)) {
            case 0 -> process.paused = !process.paused;
            case 1 -> process.down = true;
            case 2, 3 -> restartStopped();
            case 4 -> blockLinks(process.index);
            case 5 -> healLinks();
            case 6 -> {
                lossRate = random.nextInt(3) * 0.3;
                maxDelayMs = random.nextInt(4) == 0 ? 2500 : USUAL_MAX_DELAY_MS;
            }
            case 7 -> fleet.processes.forEach(other -> other.paused = false);
            default -> {
                if (random.nextInt(4) == 0) {
                    fleet.processes.forEach(
                            other -> other.start(random.split())); // all processes at the same time, without state
                } else {
                    fleet.stepWallClocks((random.nextInt(3) - 1) * 500);
                }
            }
        }
    }

    private void restartStopped() {
        fleet.processes.stream().filter(other -> other.down).forEach(other -> other.start(random.split()));
    }

    private void blockLinks(int index) {
        for (int i = 0; i < count; i++) {
            blockedLinks[index][i] = random.nextBoolean();
            blockedLinks[i][index] = random.nextInt(3) == 0;
        }
    }

    private void healLinks() {
        Arrays.stream(blockedLinks).forEach(row -> Arrays.fill(row, false));
    }

    /**
     * Each process uses the next list from a different time on. If the list is changed in two steps, the second follows
     * only after all processes have taken the first.
     */
    private void changePeerLists() {
        for (int changes = 0; changes < 2; changes++) {
            int i = random.nextInt(fleet.peerListStage.length);
            if (options.peerListSteps() == 1 && fleet.peerListStage[i] == 0) {
                fleet.advancePeerList(i, 2);
            } else if (fleet.peerListStage[i] == 0
                    || (fleet.peerListStage[i] == 1
                            && Arrays.stream(fleet.peerListStage).allMatch(stage -> stage > 0))) {
                fleet.advancePeerList(i, fleet.peerListStage[i] + 1);
            }
        }
    }

    private void endFaults() {
        faultsEnded = true;
        for (int i = 0; options.peerListSteps() > 0 && i < count; i++) {
            fleet.advancePeerList(i, 2);
        }
        nextFaultMs = Double.POSITIVE_INFINITY;
        healLinks();
        lossRate = 0;
        maxDelayMs = USUAL_MAX_DELAY_MS;
        for (SimulatedLeaseFleet.SimulatedProcess process : fleet.processes) {
            process.paused = false;
            if (process.down) {
                process.start(random.split());
            }
        }
    }

    private void check() {
        fleet.checkSafety();
        if (options.leaseNames().stream().allMatch(fleet::isHeld)) {
            unheldSinceMs = -1;
        } else if (unheldSinceMs < 0) {
            unheldSinceMs = fleet.nowMs;
        }
        if (faultsEnded && unheldSinceMs >= 0) {
            longestUnheldMs = Math.max(longestUnheldMs, fleet.nowMs - Math.max(FAULTS_MS, unheldSinceMs));
        }
    }
}
