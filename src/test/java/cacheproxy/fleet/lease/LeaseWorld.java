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
 * A simulated fleet: processes with a real {@link LeaseManager}, each on its own drifting clock, and the messages
 * between them. Safety is checked in true time.
 */
final class LeaseWorld {
    /** A message in flight. */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    record Mail(double atMs, long sequence, int from, int to, byte[] bytes) {}

    /** A process of the fleet. */
    final class Member {
        final int index;
        final String name;
        final long id;
        /** The local clock shows {@code zeroMs + rate * nowMs}. */
        double rate = 1;

        double zeroMs;
        boolean paused;
        boolean down;
        LeaseManager manager;
        SplittableRandom random;

        Member(int index) {
            this.index = index;
            name = "p" + (index + 1);
            id = NameHash.of(name);
        }

        double localMs() {
            return zeroMs + rate * nowMs;
        }

        void start(SplittableRandom seeded) {
            random = seeded;
            down = false;
            manager = new LeaseManager(name, timing, seeded, localMs(), new LeaseListener() {
                @Override
                public void send(long to, LeaseMessage message) {
                    network.send(index, byId.get(to), message.encode());
                }

                @Override
                public void gained(String lease, long epoch) {
                    gains++;
                    Long last = epochs.put(lease, epoch);
                    if (last != null && epoch <= last) {
                        reportViolation("epoch " + epoch + " of " + lease + " after " + last);
                    }
                }

                @Override
                public void lost(String lease, long epoch, String reason) {
                    losses.merge(reason, 1, Integer::sum);
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

        /** Whether it would act as the holder now. */
        boolean isHolding(String lease) {
            return !down && manager.permit(lease, localMs(), 0) >= 0;
        }
    }

    /** What carries messages between processes. */
    interface Network {
        void send(int from, int to, byte[] bytes);
    }

    final LeaseTiming timing;
    final double leaseMs;
    final List<String> leaseNames;
    final List<Member> processes = new ArrayList<>();
    final Map<Long, Integer> byId = new HashMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, Integer> losses = new HashMap<>();
    final PriorityQueue<Mail> mail = new PriorityQueue<>((left, right) -> left.atMs != right.atMs
            ? Double.compare(left.atMs, right.atMs)
            : Long.compare(left.sequence, right.sequence));
    int voterCount = 5;
    int candidateCount = Integer.MAX_VALUE;
    Network network = (from, to, bytes) -> {};
    double nowMs;
    double wallStepMs;
    long mailCount;
    int gains;
    private final List<String> violations = new ArrayList<>();

    LeaseWorld(LeaseTiming timing, double leaseMs, int count, List<String> leaseNames) {
        this.timing = timing;
        this.leaseMs = leaseMs;
        this.leaseNames = leaseNames;
        for (int i = 0; i < count; i++) {
            processes.add(new Member(i));
            byId.put(NameHash.of("p" + (i + 1)), i);
        }
    }

    /** Delivers a message that has been taken out of the mail. */
    void deliver(Mail letter) {
        processes.get(letter.to()).receive(letter.from(), letter.bytes());
    }

    /** Runs for so long in steps of 1 ms. */
    void run(double ms) {
        for (double endMs = nowMs + ms; nowMs < endMs; nowMs++) {
            while (!mail.isEmpty() && mail.peek().atMs() <= nowMs) {
                deliver(mail.remove());
            }
            processes.forEach(Member::tick);
            check();
        }
    }

    boolean isCandidate(int index) {
        return index < candidateCount;
    }

    private final Map<String, VoterSet> voterSets = new HashMap<>();
    /**
     * The list of peers that each process uses: 0 the old one, 1 both, 2 the new one; null while it does not change.
     */
    int[] stage;

    List<String> oldList;
    List<String> newList;

    /** One process takes the next list of peers. */
    void advance(int index, int to) {
        stage[index] = to;
        Member process = processes.get(index);
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
                (stage == null ? -1 : stage[index]) + lease,
                key -> stage == null
                        ? new VoterSet(
                                lease,
                                processes.stream().map(process -> process.name).toList(),
                                List.of(),
                                voterCount)
                        : stage[index] == 0
                                ? new VoterSet(lease, oldList, List.of(), voterCount)
                                : new VoterSet(lease, newList, stage[index] == 1 ? oldList : List.of(), voterCount));
    }

    /** Sets by how much all wall clocks are off. */
    void stepWall(double ms) {
        wallStepMs = ms;
        if (timing instanceof ByWallClock byWallClock) {
            byWallClock.stepMs = ms;
        }
    }

    /** A planted defect: the holder measures its lease by the wall clock. */
    static final class ByWallClock extends LeaseTiming {
        double stepMs;

        ByWallClock(double longestMs) {
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
     * At most one process may act under a lease, and while it may, a majority of the voters reserves the lease for it.
     */
    void check() {
        for (String lease : leaseNames) {
            int holders = 0;
            for (Member process : processes) {
                if (process.isHolding(lease)) {
                    holders++;
                    Set<Long> reserving = new HashSet<>();
                    for (Member voter : processes) {
                        if (voter.down || voter.manager.reservesFor(voter.localMs(), lease, process.id)) {
                            reserving.add(voter.id);
                        }
                    }
                    // While the list changes, a grant may stem from the list before the one that the holder uses now.
                    boolean isReserved = stage == null
                            ? voterSet(process.index, lease).isMajority(reserving)
                            : voterSetOf(lease, oldList).isMajority(reserving)
                                    || voterSetOf(lease, newList).isMajority(reserving);
                    if (!isReserved) {
                        reportViolation(process.name + " may act on " + lease + " and only " + reserving.size()
                                + " keep others from it");
                    }
                }
            }
            if (holders > 1) {
                reportViolation(holders + " may act on " + lease + ": "
                        + processes.stream()
                                .filter(process -> process.isHolding(lease))
                                .map(process -> process.name)
                                .toList());
            }
        }
    }

    boolean held(String lease) {
        return processes.stream().anyMatch(process -> process.isHolding(lease));
    }
}
