package cacheproxy.fleet.lease;

import cacheproxy.fleet.lease.LeaseMessage.Kind;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One process's side of one duty: it asks whether the duty is free, claims it, holds it and renews it, gives it back.
 * It asks before it claims, and voters take nothing from a holder whose lease runs, so one that comes and goes disturbs
 * nobody. Times in milliseconds of the process's own monotonic clock.
 */
final class LeaseCandidate {
    /** Peers that stand at once; those behind them look more rarely, the further back the more so. */
    static final int STANDING = 5;

    private static final double RENEWALS = 3;
    private static final double RANK_MS = 40;
    private static final double MOST_RANK_MS = 400;
    private static final double LOOK_MOST_MS = 30_000;
    /** One who has been handed a duty looks again so soon: word to the voters may come after word to it. */
    private static final double EAGER_MS = 15;

    /** Where its messages go and what it tells. */
    interface Out {
        void send(long to, LeaseMessage m);

        void gained(long epoch);

        void lost(long epoch, String why);
    }

    private enum State {
        IDLE,
        ASKING,
        CLAIMING,
        HOLDING
    }

    private final long me;
    /** Of this process: what one that had the same name before it holds is another's. */
    private final long life;

    private final long duty;
    private double leaseMs;
    private final LeaseTiming rules;
    private final SplittableRandom random;
    private final Out out;
    private VoterSet electorate;
    private State state = State.IDLE;
    private double nextMs;
    /** The question that is out: its nonce, when it was sent, what came back. */
    private long nonce;

    private double sentMs;
    /** The lease that was asked for, in the whole milliseconds that voters are told. */
    private int askedMs;

    private final Set<Long> yes = new HashSet<>();
    private final Set<Long> no = new HashSet<>();
    private final Map<Long, Long> holders = new HashMap<>();
    private long seen;
    private double leftMs;
    private long epoch;
    private double untilMs = Double.NEGATIVE_INFINITY;
    /** Acts that have been permitted are over by then. */
    private double busyUntilMs = Double.NEGATIVE_INFINITY;
    /** Who holds it, as voters last said. */
    private long holder = NameHash.NOBODY;

    private boolean able;
    /** Whether the file has it. */
    private boolean wanted = true;

    private double eagerUntilMs = Double.NEGATIVE_INFINITY;
    private double claimsFromMs = Double.NEGATIVE_INFINITY;
    private String leaving;
    private long handTo = NameHash.NOBODY;

    LeaseCandidate(
            long me,
            long life,
            long duty,
            double leaseMs,
            VoterSet electorate,
            LeaseTiming rules,
            SplittableRandom random,
            boolean able,
            double now,
            Out out) {
        check(leaseMs, rules);
        this.able = able;
        this.me = me;
        this.life = life;
        this.duty = duty;
        this.leaseMs = leaseMs;
        this.electorate = electorate;
        this.rules = rules;
        this.random = random;
        this.out = out;
        nextMs = now + stagger();
    }

    private static void check(double leaseMs, LeaseTiming rules) {
        if (!(leaseMs >= 1 && leaseMs <= rules.longestMs())) {
            throw new IllegalArgumentException("lease " + leaseMs + ", from 1 to the longest, " + rules.longestMs());
        }
    }

    private double stagger() {
        return Math.min(MOST_RANK_MS, electorate.rank(me) * RANK_MS) + random.nextDouble() * RANK_MS;
    }

    private double answersMs() {
        return leaseMs / 6;
    }

    /** How long after a look it looks again, where somebody holds it. */
    private double lookMs() {
        int rank = electorate.rank(me);
        return rank < STANDING ? 0 : Math.min(LOOK_MOST_MS, leaseMs * (rank / STANDING));
    }

    /**
     * The file has it, with this lease and these voters. What it holds it renews among them. Where the list is a new
     * one alone, nothing new is claimed until what the list before it may have granted is over; while both lists vote
     * there is no need, as they share a voter with either.
     */
    void stand(double ms, VoterSet other, double now) {
        check(ms, rules);
        leaseMs = ms;
        wanted = true;
        if (!other.votesAs(electorate)) {
            if (!other.isChanging()) {
                claimsFromMs = now + rules.silenceMs();
            }
            dropClaim(now); // what came back is of other voters
        }
        electorate = other;
        if (!stands()) {
            dropClaim(now);
            leave(
                    "no longer among the peers",
                    other.order().isEmpty() ? NameHash.NOBODY : other.order().get(0));
        }
    }

    /** The file has it no longer. */
    void withdraw(double now) {
        wanted = false;
        dropClaim(now);
        leave("no longer in the file", NameHash.NOBODY);
    }

    /** Whether it is neither wanted nor held. */
    boolean isOver() {
        return !wanted && state == State.IDLE;
    }

    private void dropClaim(double now) {
        if (state == State.ASKING || state == State.CLAIMING) {
            giveUp(now);
        }
    }

    private boolean stands() {
        return able && wanted && electorate.rank(me) != Integer.MAX_VALUE;
    }

    java.util.List<Long> order() {
        return electorate.order();
    }

    /**
     * Whether an act that takes so long may begin now; ask right before it. The epoch under which it is done, or -1.
     */
    long permit(double now, double actMs) {
        if (state != State.HOLDING || leaving != null || !rules.mayAct(now, untilMs, actMs)) {
            return -1;
        }
        busyUntilMs = Math.max(busyUntilMs, now + actMs);
        return epoch;
    }

    boolean holding(double now) {
        return permit(now, 0) >= 0;
    }

    long epoch() {
        return epoch;
    }

    double leftMs(double now) {
        return state == State.HOLDING ? Math.max(0, untilMs - now) : 0;
    }

    long holder(double now) {
        return holding(now) ? me : holder;
    }

    /** Whether it may hold; one that may not gives back what it holds and takes nothing. */
    void able(boolean on, String why, double now) {
        able = on;
        if (!on) {
            dropClaim(now);
            leave(why, NameHash.NOBODY);
        }
    }

    /** Gives it back once the acts under way are over, to a peer if one is named. */
    void leave(String why, long to) {
        if (state == State.HOLDING && leaving == null) {
            leaving = why;
            handTo = to;
        }
    }

    // ---- time

    /** When {@link #tick} wants to be called at the latest. */
    double nextMs(double now) {
        if (state == State.HOLDING) {
            double change = leaving != null ? Math.max(now, busyUntilMs) : nextMs;
            return Math.min(change, untilMs);
        }
        return nextMs;
    }

    void tick(double now) {
        if (state == State.HOLDING) {
            hold(now);
        } else if (now >= nextMs) {
            switch (state) {
                case IDLE -> {
                    if (stands() && now >= claimsFromMs) {
                        ask(now);
                    } else {
                        nextMs = Math.max(claimsFromMs, now + leaseMs);
                    }
                }
                case ASKING -> idle(now + leaseMs * random.nextDouble() / 2 + stagger());
                default -> giveUp(now);
            }
        }
    }

    private void hold(double now) {
        if (now >= untilMs) {
            String why = leaving != null ? leaving : "no majority renewed it in time";
            lose(now, why, leaving != null);
        } else if (leaving != null && now >= busyUntilMs) {
            long to = handTo;
            long given = epoch;
            lose(now, leaving, true);
            if (to != NameHash.NOBODY && to != me) {
                out.send(to, new LeaseMessage(Kind.HAND, duty, 0, given, me, 0));
                nextMs = now + leaseMs; // the other's turn
            }
        } else if (leaving == null && now >= nextMs) {
            question(now, Kind.CLAIM, epoch);
            nextMs = now + leaseMs / RENEWALS;
        }
    }

    private void lose(double now, String why, boolean release) {
        state = State.IDLE;
        untilMs = Double.NEGATIVE_INFINITY;
        busyUntilMs = Double.NEGATIVE_INFINITY;
        leaving = null;
        holder = handTo;
        handTo = NameHash.NOBODY;
        if (release) {
            release();
        }
        nextMs = now + leaseMs / 4 + stagger();
        out.lost(epoch, why);
    }

    private void release() {
        nonce = 0;
        LeaseMessage m = new LeaseMessage(Kind.RELEASE, duty, 0, epoch, life, 0);
        electorate.voters().forEach(v -> out.send(v, m));
    }

    private void ask(double now) {
        state = State.ASKING;
        seen = 0;
        leftMs = 0;
        holders.clear();
        question(now, Kind.ASK, 0);
        nextMs = now + answersMs();
    }

    private void question(double now, Kind kind, long of) {
        nonce = random.nextLong();
        sentMs = now;
        askedMs = (int) leaseMs;
        yes.clear();
        no.clear();
        LeaseMessage m = new LeaseMessage(kind, duty, nonce, of, life, kind == Kind.CLAIM ? askedMs : 0);
        electorate.voters().forEach(v -> out.send(v, m));
    }

    private void idle(double until) {
        state = State.IDLE;
        nonce = 0;
        nextMs = until;
    }

    /** A claim that got no majority in time must not stand in others' way. */
    private void giveUp(double now) {
        release();
        idle(now + random.nextDouble() * leaseMs / 2 + stagger());
    }

    // ---- answers

    /** @param wallMs the wall clock, a floor for epochs alone */
    void heard(double now, long from, LeaseMessage m, long wallMs) {
        if (m.kind() == Kind.HAND) {
            if (state == State.IDLE && stands() && now >= claimsFromMs) {
                eagerUntilMs = now + leaseMs / 2;
                ask(now);
            }
            return;
        }
        if (m.nonce() != nonce || nonce == 0 || !electorate.voters().contains(from)) {
            return;
        }
        switch (m.kind()) {
            case STATE -> {
                if (state == State.ASKING) {
                    told(now, from, m, wallMs);
                }
            }
            case GRANT -> {
                if (m.epoch() == epoch && (state == State.CLAIMING || state == State.HOLDING)) {
                    granted(now, from);
                }
            }
            case REFUSE -> {
                if (state == State.CLAIMING) {
                    no.add(from);
                    seen = Math.max(seen, m.epoch());
                    if (electorate.blocks(no)) {
                        giveUp(now);
                    }
                }
            }
            default -> {}
        }
    }

    private void told(double now, long from, LeaseMessage m, long wallMs) {
        seen = Math.max(seen, m.epoch());
        if (m.holder() == NameHash.NOBODY) {
            yes.add(from);
        } else {
            no.add(from);
            holders.put(from, m.holder());
            leftMs = Math.max(leftMs, m.ms());
        }
        if (electorate.isMajority(yes)) {
            holder = NameHash.NOBODY;
            state = State.CLAIMING;
            epoch = rules.epoch(Math.max(seen, epoch), wallMs);
            question(now, Kind.CLAIM, epoch);
            nextMs = now + answersMs();
        } else if (electorate.blocks(no)) {
            holder = mostNamed();
            idle(
                    now < eagerUntilMs
                            ? now + EAGER_MS * (1 + random.nextDouble())
                            : now + Math.max(leftMs, lookMs()) + stagger());
        }
    }

    private long mostNamed() {
        Map<Long, Integer> counts = new HashMap<>();
        holders.values().forEach(h -> counts.merge(h, 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(NameHash.NOBODY);
    }

    private void granted(double now, long from) {
        yes.add(from);
        double until = sentMs + rules.holderMs(askedMs);
        if (!electorate.isMajority(yes) || until <= now) {
            return;
        }
        untilMs = Math.max(untilMs, until);
        if (state == State.CLAIMING) {
            state = State.HOLDING;
            holder = me;
            nextMs = sentMs + leaseMs / RENEWALS;
            out.gained(epoch);
        }
    }

    boolean awaits(long question) {
        return question != 0 && question == nonce;
    }

    /** All that decides what it does next, for a model checker. */
    String fingerprint(double now) {
        return state + " " + Math.round(Math.max(-1, nextMs - now)) + " " + (nonce != 0) + " "
                + Math.round(Math.max(-5000, sentMs - now)) + " "
                + new java.util.TreeSet<>(yes) + new java.util.TreeSet<>(no) + " " + seen + " " + epoch + " "
                + Math.round(Math.max(-1, untilMs - now)) + " " + leaving + " " + able;
    }
}
