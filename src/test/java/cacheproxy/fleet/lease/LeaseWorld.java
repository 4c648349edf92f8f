package cacheproxy.fleet.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Processes with real {@link LeaseManager}, each on a clock of its own, and the messages between them; judged in true
 * time.
 */
final class LeaseWorld {
    /** A message on its way. */
    record Mail(double atMs, long n, int from, int to, byte[] bytes) {}

    /** What a process is. */
    final class Process {
        final int index;
        final String name;
        final long id;
        /** Local time is {@code zero + rate * true time}. */
        double rate = 1;

        double zero;
        boolean paused;
        boolean down;
        LeaseManager duties;
        SplittableRandom random;

        Process(int index) {
            this.index = index;
            name = "p" + (index + 1);
            id = NameHash.of(name);
        }

        double local() {
            return zero + rate * now;
        }

        void start(SplittableRandom with) {
            random = with;
            down = false;
            duties = new LeaseManager(name, rules, with, local(), new LeaseManager.Out() {
                @Override
                public void send(long to, LeaseMessage m) {
                    sent.send(index, byId.get(to), m.bytes());
                }

                @Override
                public void gained(String duty, long epoch) {
                    gains++;
                    Long last = epochs.put(duty, epoch);
                    if (last != null && epoch <= last) {
                        fault("epoch " + epoch + " of " + duty + " after " + last);
                    }
                }

                @Override
                public void lost(String duty, long epoch, String why) {
                    losses.merge(why, 1, Integer::sum);
                }
            });
            for (String d : names) {
                if (stands(index)) {
                    duties.stand(d, leaseMs, electorate(index, d), local());
                }
            }
        }

        void tick() {
            if (!paused && !down) {
                duties.tick(local(), wall());
            }
        }

        void heard(int from, byte[] bytes) {
            if (!paused && !down) {
                duties.heard(local(), processes.get(from).id, LeaseMessage.of(bytes), wall());
            }
        }

        /** Would act now if it were asked right before it. */
        boolean mayAct(String duty) {
            return !down && duties.permit(duty, local(), 0) >= 0;
        }
    }

    interface Sending {
        void send(int from, int to, byte[] bytes);
    }

    final LeaseTiming rules;
    final double leaseMs;
    final List<String> names;
    final List<Process> processes = new ArrayList<>();
    final Map<Long, Integer> byId = new HashMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, Integer> losses = new HashMap<>();
    final PriorityQueue<Mail> mail =
            new PriorityQueue<>((a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.n, b.n));
    int voters = 5;
    int standing = Integer.MAX_VALUE;
    Sending sent = (from, to, bytes) -> {};
    double now;
    double wallStepMs;
    long mails;
    int gains;
    private final List<String> faults = new ArrayList<>();

    LeaseWorld(LeaseTiming rules, double leaseMs, int count, List<String> names) {
        this.rules = rules;
        this.leaseMs = leaseMs;
        this.names = names;
        for (int i = 0; i < count; i++) {
            processes.add(new Process(i));
            byId.put(NameHash.of("p" + (i + 1)), i);
        }
    }

    boolean stands(int index) {
        return index < standing;
    }

    private final Map<String, VoterSet> electorates = new HashMap<>();
    /**
     * The list that each process goes by while it changes: the old one, both, the new one; null: it does not change.
     */
    int[] stage;

    List<String> oldList;
    List<String> newList;

    /** One process goes by the next list. */
    void advance(int index, int to) {
        stage[index] = to;
        Process p = processes.get(index);
        if (!p.down) {
            names.forEach(d -> p.duties.stand(d, leaseMs, electorate(index, d), p.local()));
        }
    }

    private VoterSet of(String duty, List<String> list) {
        return electorates.computeIfAbsent(duty + list, k -> new VoterSet(duty, list, List.of(), voters));
    }

    VoterSet electorate(int index, String duty) {
        return electorates.computeIfAbsent(
                (stage == null ? -1 : stage[index]) + duty,
                k -> stage == null
                        ? new VoterSet(duty, processes.stream().map(p -> p.name).toList(), List.of(), voters)
                        : stage[index] == 0
                                ? new VoterSet(duty, oldList, List.of(), voters)
                                : new VoterSet(duty, newList, stage[index] == 1 ? oldList : List.of(), voters));
    }

    /** The wall clock is off by so much from now on. */
    void stepWall(double ms) {
        wallStepMs = ms;
        if (rules instanceof ByWallClock by) {
            by.stepMs = ms;
        }
    }

    /** A planted fault: the lease is held by the wall clock. */
    static final class ByWallClock extends LeaseTiming {
        double stepMs;

        ByWallClock(double longestMs) {
            super(longestMs, DRIFT);
        }

        @Override
        public boolean mayAct(double now, double untilMs, double actMs) {
            return super.mayAct(now + stepMs, untilMs, actMs);
        }
    }

    long wall() {
        return Math.max(0, (long) (1_000_000 + now + wallStepMs));
    }

    void fault(String what) {
        faults.add(Math.round(now) + " ms: " + what);
    }

    List<String> faults() {
        return faults;
    }

    /** Never two that may act; and what that rests on: while one may act, a majority keeps all others from it. */
    void judge() {
        for (String d : names) {
            int n = 0;
            for (Process p : processes) {
                if (p.mayAct(d)) {
                    n++;
                    java.util.Set<Long> keep = new java.util.HashSet<>();
                    for (Process v : processes) {
                        if (v.down || v.duties.keepsFor(v.local(), d, p.id)) {
                            keep.add(v.id);
                        }
                    }
                    // While the list changes, a lease may stem from the list before the one that the holder goes by
                    // now.
                    boolean kept = stage == null
                            ? electorate(p.index, d).isMajority(keep)
                            : of(d, oldList).isMajority(keep) || of(d, newList).isMajority(keep);
                    if (!kept) {
                        fault(p.name + " may act on " + d + " and only " + keep.size() + " keep others from it");
                    }
                }
            }
            if (n > 1) {
                fault(n + " may act on " + d + ": "
                        + processes.stream()
                                .filter(p -> p.mayAct(d))
                                .map(p -> p.name)
                                .toList());
            }
        }
    }

    boolean held(String duty) {
        return processes.stream().anyMatch(p -> p.mayAct(duty));
    }
}
