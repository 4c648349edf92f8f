package cacheproxy.fleet.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A simulated fleet: processes with a real {@link LeaseManager}, each with its own drifting clock, and the messages
 * between them. Safety is checked in true time.
 */
final class SimulatedLeaseFleet {
    /** A message in flight. */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    record Datagram(double atMs, long sequence, int from, int to, byte[] bytes) {}

    /** A process of the fleet. */
    final class SimulatedProcess {
        final int index;
        final String name;
        final long id;
        /** The local clock shows {@code clockOffsetMs + clockRate * nowMs}. */
        double clockRate = 1;

        double clockOffsetMs;
        boolean paused;
        boolean down;
        LeaseManager manager;
        SplittableRandom random;

        SimulatedProcess(int index) {
            this.index = index;
            name = "p" + (index + 1);
            id = NameHash.of(name);
        }

        double localMs() {
            return clockOffsetMs + clockRate * nowMs;
        }

        void start(SplittableRandom seeded) {
            random = seeded;
            down = false;
            manager = new LeaseManager(name, timing, seeded, localMs(), new LeaseListener() {
                @Override
                public void send(long to, LeaseMessage message) {
                    network.send(index, indexById.get(to), message.encode());
                }

                @Override
                public void gained(String lease, long epoch) {
                    gains++;
                    Long last = lastEpochs.put(lease, epoch);
                    if (last != null && epoch <= last) {
                        reportViolation("epoch " + epoch + " of " + lease + " after " + last);
                    }
                }

                @Override
                public void lost(String lease, long epoch, String reason) {
                    lossesByReason.merge(reason, 1, Integer::sum);
                }
            });
            for (String leaseName : leaseNames) {
                if (isCandidate(index)) {
                    manager.campaign(leaseName, leaseMs, voterSet(index, leaseName), localMs());
                }
            }
        }

        void tick() {
            if (!paused && !down) {
                manager.tick(localMs(), wallMs());
            }
        }

        void receive(int from, byte[] bytes) {
            if (!paused && !down) {
                manager.receive(localMs(), processes.get(from).id, LeaseMessage.decode(bytes), wallMs());
            }
        }

        /** Returns whether the process would act as the holder now. */
        boolean isHolding(String lease) {
            return !down && manager.permit(lease, localMs(), 0) >= 0;
        }
    }

    /** Carries messages between processes. */
    interface Network {
        void send(int from, int to, byte[] bytes);
    }

    final LeaseTiming timing;
    final double leaseMs;
    final List<String> leaseNames;
    final List<SimulatedProcess> processes = new ArrayList<>();
    final Map<Long, Integer> indexById = new HashMap<>();
    final Map<String, Long> lastEpochs = new HashMap<>();
    final Map<String, Integer> lossesByReason = new HashMap<>();
    final PriorityQueue<Datagram> datagrams = new PriorityQueue<>((left, right) -> left.atMs != right.atMs
            ? Double.compare(left.atMs, right.atMs)
            : Long.compare(left.sequence, right.sequence));
    int voterCount = 5;
    int candidateCount = Integer.MAX_VALUE;
    Network network = (from, to, bytes) -> {};
    double nowMs;
    double wallStepMs;
    long datagramCount;
    int gains;
    private final List<String> violations = new ArrayList<>();

    SimulatedLeaseFleet(LeaseTiming timing, double leaseMs, int count, List<String> leaseNames) {
        this.timing = timing;
        this.leaseMs = leaseMs;
        this.leaseNames = leaseNames;
        for (int i = 0; i < count; i++) {
            processes.add(new SimulatedProcess(i));
            indexById.put(NameHash.of("p" + (i + 1)), i);
        }
    }

    /** Delivers a message that has been removed from the queue. */
    void deliver(Datagram datagram) {
        processes.get(datagram.to()).receive(datagram.from(), datagram.bytes());
    }

    /** Runs the fleet for this long in steps of 1 ms. */
    void run(double ms) {
        for (double endMs = nowMs + ms; nowMs < endMs; nowMs++) {
            while (!datagrams.isEmpty() && datagrams.peek().atMs() <= nowMs) {
                deliver(datagrams.remove());
            }
            processes.forEach(SimulatedProcess::tick);
            checkSafety();
        }
    }

    boolean isCandidate(int index) {
        return index < candidateCount;
    }

    private final Map<String, VoterSet> voterSets = new HashMap<>();
    /**
     * The list of peers that each process uses: 0 the old list, 1 both lists, 2 the new list; null if the list does not
     * change.
     */
    int[] peerListStage;

    List<String> oldList;
    List<String> newList;

    /** Makes one process use the next list of peers. */
    void advancePeerList(int index, int to) {
        peerListStage[index] = to;
        SimulatedProcess process = processes.get(index);
        if (!process.down) {
            leaseNames.forEach(
                    lease -> process.manager.campaign(lease, leaseMs, voterSet(index, lease), process.localMs()));
        }
    }

    private VoterSet voterSetOf(String lease, List<String> list) {
        return voterSets.computeIfAbsent(lease + list, key -> new VoterSet(lease, list, List.of(), voterCount));
    }

    VoterSet voterSet(int index, String lease) {
        return voterSets.computeIfAbsent(
                (peerListStage == null ? -1 : peerListStage[index]) + lease,
                key -> peerListStage == null
                        ? new VoterSet(
                                lease,
                                processes.stream().map(process -> process.name).toList(),
                                List.of(),
                                voterCount)
                        : peerListStage[index] == 0
                                ? new VoterSet(lease, oldList, List.of(), voterCount)
                                : new VoterSet(
                                        lease, newList, peerListStage[index] == 1 ? oldList : List.of(), voterCount));
    }

    /** Sets the deviation of all wall clocks. */
    void stepWallClocks(double ms) {
        wallStepMs = ms;
        if (timing instanceof WallClockTiming byWallClock) {
            byWallClock.stepMs = ms;
        }
    }

    /** An injected defect: the holder measures its lease by the wall clock. */
    static final class WallClockTiming extends LeaseTiming {
        double stepMs;

        WallClockTiming(double longestMs) {
            super(longestMs, MAX_CLOCK_DRIFT);
        }

        @Override
        public boolean permitsAction(double nowMs, double untilMs, double actionMs) {
            return super.permitsAction(nowMs + stepMs, untilMs, actionMs);
        }
    }

    long wallMs() {
        return Math.max(0, (long) (1_000_000 + nowMs + wallStepMs));
    }

    void reportViolation(String what) {
        violations.add(Math.round(nowMs) + " ms: " + what);
    }

    List<String> violations() {
        return violations;
    }

    /**
     * Checks that at most one process may act under each lease and that, while it may, a majority of the voters
     * reserves the lease for it.
     */
    void checkSafety() {
        for (String lease : leaseNames) {
            int holders = 0;
            for (SimulatedProcess process : processes) {
                if (process.isHolding(lease)) {
                    holders++;
                    Set<Long> reserving = new HashSet<>();
                    for (SimulatedProcess voter : processes) {
                        if (voter.down || voter.manager.reservesFor(voter.localMs(), lease, process.id)) {
                            reserving.add(voter.id);
                        }
                    }
                    // While the list changes, a grant may have been made with the list that the holder used before the
                    // present one.
                    boolean isReserved = peerListStage == null
                            ? voterSet(process.index, lease).isMajority(reserving)
                            : voterSetOf(lease, oldList).isMajority(reserving)
                                    || voterSetOf(lease, newList).isMajority(reserving);
                    if (!isReserved) {
                        reportViolation(process.name + " may act under " + lease + ", but only " + reserving.size()
                                + " voters reserve it");
                    }
                }
            }
            if (holders > 1) {
                reportViolation(holders + " processes may act under " + lease + ": "
                        + processes.stream()
                                .filter(process -> process.isHolding(lease))
                                .map(process -> process.name)
                                .toList());
            }
        }
    }

    boolean isHeld(String lease) {
        return processes.stream().anyMatch(process -> process.isHolding(lease));
    }
}
