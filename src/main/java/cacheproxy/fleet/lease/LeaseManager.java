package cacheproxy.fleet.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All duties of one process, and its word on those of others. Free of I/O and clocks: messages and time are handed in,
 * what is to be sent goes to an {@link Out}. What acts on a duty asks {@link #permit} right before each act.
 */
public final class LeaseManager {
    /** Duties of one process: those of a file and the program's own. */
    public static final int MOST = 1400;

    /** Where messages go, and who is told of gains and losses. */
    public interface Out {
        void send(long to, LeaseMessage m);

        void gained(String duty, long epoch);

        void lost(String duty, long epoch, String why);
    }

    /**
     * A duty as this process sees it.
     *
     * @param holder by the voters' last word; {@link NameHash#NOBODY} if unknown or nobody
     * @param epoch of its own last grant
     * @param leftMs of its own lease
     */
    public record Sight(String duty, boolean holding, long epoch, double leftMs, long holder) {}

    private final long me;
    private final long life;
    private final LeaseTiming rules;
    private final SplittableRandom random;
    private final Out out;
    private final LeaseVoter voter;
    private final Map<Long, String> names = new LinkedHashMap<>();
    private final Map<String, LeaseCandidate> candidates = new LinkedHashMap<>();
    private boolean able = true;

    /** @param startMs when the process started, by the clock that all times here are of */
    public LeaseManager(String me, LeaseTiming rules, SplittableRandom random, double startMs, Out out) {
        this.me = NameHash.of(me);
        this.rules = rules;
        this.random = random;
        life = random.nextLong();
        this.out = out;
        voter = new LeaseVoter(rules, startMs);
    }

    /** Stands for a duty from now on, or goes on with another lease or among other voters. */
    public void stand(String duty, double leaseMs, VoterSet electorate, double now) {
        LeaseCandidate known = candidates.get(duty);
        if (known != null) {
            known.stand(leaseMs, electorate, now);
            return;
        }
        long id = NameHash.of(duty);
        if (candidates.size() >= MOST || names.containsKey(id)) {
            throw new IllegalArgumentException(
                    names.containsKey(id)
                            ? "duties " + duty + " and " + names.get(id) + " have one id; rename one"
                            : "more than " + MOST + " duties");
        }
        names.put(id, duty);
        candidates.put(
                duty,
                new LeaseCandidate(
                        me, life, id, leaseMs, electorate, rules, random.split(), able, now, new LeaseCandidate.Out() {
                            @Override
                            public void send(long to, LeaseMessage m) {
                                if (to == me) {
                                    // Its own word costs no message, and comes at once.
                                    self.add(m);
                                } else {
                                    out.send(to, m);
                                }
                            }

                            @Override
                            public void gained(long epoch) {
                                out.gained(duty, epoch);
                            }

                            @Override
                            public void lost(long epoch, String why) {
                                out.lost(duty, epoch, why);
                            }
                        }));
    }

    private final List<LeaseMessage> self = new ArrayList<>();

    /**
     * No longer stands for a duty; what it holds it gives back once the acts under way are over, and then is no more.
     */
    public void withdraw(String duty, double now) {
        LeaseCandidate c = candidates.get(duty);
        if (c != null) {
            c.withdraw(now);
        }
    }

    /** Peers in the order in which they stand for a duty; empty for one that is not known. */
    public List<Long> order(String duty) {
        LeaseCandidate c = candidates.get(duty);
        return c == null ? List.of() : c.order();
    }

    /** A peer's message. */
    public void heard(double now, long from, LeaseMessage m, long wallMs) {
        switch (m.kind()) {
            case ASK, CLAIM, RELEASE -> {
                LeaseMessage answer = voter.heard(now, from, m);
                if (answer != null) {
                    out.send(from, answer);
                }
            }
            default -> {
                LeaseCandidate c = candidates.get(names.getOrDefault(m.duty(), ""));
                if (c != null) {
                    c.heard(now, from, m, wallMs);
                }
            }
        }
        ownWord(now, wallMs);
    }

    /** Does what is due; when to call again, at the latest. */
    public double tick(double now, long wallMs) {
        double next = Double.POSITIVE_INFINITY;
        for (LeaseCandidate c : candidates.values()) {
            c.tick(now);
            ownWord(now, wallMs);
            next = Math.min(next, c.nextMs(now));
        }
        if (candidates.values().removeIf(LeaseCandidate::isOver)) {
            names.values().retainAll(candidates.keySet());
        }
        return next;
    }

    private void ownWord(double now, long wallMs) {
        for (int i = 0; i < self.size(); i++) { // an answer may lead to the next message
            LeaseMessage m = self.get(i);
            LeaseMessage answer = voter.heard(now, me, m);
            LeaseCandidate c = candidates.get(names.get(m.duty()));
            if (answer != null && c != null) {
                c.heard(now, me, answer, wallMs);
            }
        }
        self.clear();
    }

    /** The epoch under which an act of so many milliseconds may begin now; -1: it may not. Ask right before it. */
    public long permit(String duty, double now, double actMs) {
        LeaseCandidate c = candidates.get(duty);
        return c == null ? -1 : c.permit(now, actMs);
    }

    /** What acts under a duty; it may be one that this process does not stand for. */
    public LeaseHandle tenure(String duty) {
        return new LeaseHandle() {
            @Override
            public long permit(double now, double actMs) {
                return LeaseManager.this.permit(duty, now, actMs);
            }

            @Override
            public double leftMs(double now) {
                LeaseCandidate c = candidates.get(duty);
                return c == null ? 0 : c.leftMs(now);
            }

            @Override
            public long holder(double now) {
                LeaseCandidate c = candidates.get(duty);
                return c == null ? NameHash.NOBODY : c.holder(now);
            }

            @Override
            public List<Long> order() {
                return LeaseManager.this.order(duty);
            }

            @Override
            public long id() {
                return NameHash.of(duty);
            }
        };
    }

    /** What is known of each. */
    public List<Sight> sights(double now) {
        return candidates.entrySet().stream()
                .map(e -> new Sight(
                        e.getKey(),
                        e.getValue().holding(now),
                        e.getValue().epoch(),
                        e.getValue().leftMs(now),
                        e.getValue().holder(now)))
                .toList();
    }

    /** Gives one back, to a peer if one is named; whether it is held here. */
    public boolean transfer(String duty, long to, double now, String why) {
        LeaseCandidate c = candidates.get(duty);
        if (c == null || !c.holding(now)) {
            return false;
        }
        c.leave(why, to);
        return true;
    }

    /** Whether this process may hold duties; one that may not gives back what it holds. */
    public void able(boolean on, String why, double now) {
        able = on;
        candidates.values().forEach(c -> c.able(on, why, now));
    }

    /** For a model checker: whether this process's word keeps all others from a duty. */
    boolean keepsFor(double now, String duty, long peer) {
        return voter.keepsFor(now, NameHash.of(duty), peer);
    }

    /** For a model checker: whether an answer with this nonce is awaited. */
    boolean awaits(String duty, long nonce) {
        return candidates.containsKey(duty) && candidates.get(duty).awaits(nonce);
    }

    /** For a model checker. */
    String fingerprint(double now) {
        StringBuilder text = new StringBuilder(voter.fingerprint(now));
        candidates.forEach((name, c) -> text.append('|').append(c.fingerprint(now)));
        return text.toString();
    }
}
