package cacheproxy.fleet.membership;

import cacheproxy.fleet.membership.SwimMessage.Kind;
import cacheproxy.fleet.membership.SwimMessage.MemberStatus;
import cacheproxy.fleet.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Who of the configured peers is there, by their own word: each asks one other a period, has others ask where no answer
 * comes, and passes on what it hears (SWIM). One that is suspected has time to say that it is there, the longer the
 * fewer suspect it, and a proxy that is late or gets few answers doubts itself first: it asks more slowly, waits longer
 * and accuses less (Lifeguard: Dadgar, Phillips, Currey, 2018). What this says is a guess: it may hasten something and
 * must never allow anything. Free of I/O and clocks; milliseconds.
 */
public final class SwimMembership {
    /** How ill a proxy may think itself; its waits are so many times as long and one more. */
    static final int MAX_HEALTH_SCORE = 7;
    /** Questions asked for others at once. */
    static final int MAX_RELAYED_PINGS = 256;
    /** Those who confirm a suspicion beyond whom more add nothing. */
    private static final int CONFIRMATIONS = 3;
    /** Times that news is passed on, times the logarithm of how many there are. */
    private static final double TELL = 3;
    /**
     * A call of {@link #tick} that is so much too late, in periods: what was not heard meanwhile says nothing of
     * others.
     */
    private static final double STOOD_STILL = 1;

    /** Where messages go. */
    public interface SwimMessageSender {
        void send(long to, SwimMessage m);
    }

    private static final class Peer {
        MemberStatus standing = MemberStatus.ALIVE;
        int incarnation;
        double sinceMs;
        final Set<Long> accusers = new HashSet<>();
        /** How often the latest news of it has been passed on. */
        int told;
    }

    private static final class Favour {
        final long of;
        final long number;
        final long about;
        final double untilMs;
        final double nackMs;
        boolean nacked;

        Favour(long of, long number, long about, double nackMs, double untilMs) {
            this.of = of;
            this.number = number;
            this.about = about;
            this.nackMs = nackMs;
            this.untilMs = untilMs;
        }
    }

    private final long me;
    private final SwimTiming rules;
    private final SplittableRandom random;
    private final SwimMessageSender out;
    private final Map<Long, Peer> peers = new LinkedHashMap<>();
    private final List<Long> round = new ArrayList<>();
    private final Map<Long, Favour> favours = new HashMap<>();
    private int incarnation;
    private int ownTold;
    private int localHealthScore;
    private long number;
    private long asked;
    private long askedNumber;
    private double helpAtMs = Double.POSITIVE_INFINITY;
    private double nextMs;
    private double dueMs = Double.NaN;
    private int nacksWanted;
    private int nacks;

    public SwimMembership(long me, SwimTiming rules, SplittableRandom random, double now, SwimMessageSender out) {
        this.me = me;
        this.rules = rules;
        this.random = random;
        this.out = out;
        number = random.nextLong() >>> 2;
        nextMs = now + rules.periodMs() * random.nextDouble();
    }

    /** The configured list counts from now on; those that are new are taken to be there. */
    public void updateMembers(List<Long> list, double now) {
        peers.keySet().retainAll(list);
        round.retainAll(list);
        list.stream()
                .filter(p -> p != me)
                .forEach(p -> peers.computeIfAbsent(p, k -> {
                    Peer fresh = new Peer();
                    fresh.sinceMs = now;
                    fresh.told = Integer.MAX_VALUE; // no news
                    return fresh;
                }));
        ownTold = 0;
    }

    /** How a peer stands; one that is not in the list is dead. */
    public MemberStatus statusOf(long peer) {
        Peer p = peers.get(peer);
        return peer == me ? MemberStatus.ALIVE : p == null ? MemberStatus.DEAD : p.standing;
    }

    /** How ill this proxy thinks itself, 0 to {@value #MOST_ILL}. */
    public int localHealthScore() {
        return localHealthScore;
    }

    private double waits(double ms) {
        return ms * (localHealthScore + 1);
    }

    private void ail(int by) {
        localHealthScore = Math.max(0, Math.min(MAX_HEALTH_SCORE, localHealthScore + by));
    }

    // ---- time

    /** Does what is due; when to call again, at the latest. */
    public double tick(double now) {
        if (now - dueMs > STOOD_STILL * rules.periodMs()) {
            stoodStill(now);
        }
        favours.values().removeIf(f -> now >= f.untilMs);
        favours.values().forEach(f -> {
            if (now >= f.nackMs && !f.nacked) {
                f.nacked = true;
                send(f.of, Kind.NACK, f.number, f.about);
            }
        });
        if (now >= helpAtMs) {
            helpAtMs = Double.POSITIVE_INFINITY;
            haveOthersAsk();
        }
        if (now >= nextMs) {
            endOfPeriod(now);
            ask(now);
        }
        for (Map.Entry<Long, Peer> e : peers.entrySet()) {
            Peer p = e.getValue();
            if (p.standing == MemberStatus.SUSPECT && now >= p.sinceMs + waits(patience(p))) {
                set(p, MemberStatus.DEAD, p.incarnation, now);
            }
        }
        double next = Math.min(nextMs, helpAtMs);
        for (Favour f : favours.values()) {
            next = Math.min(next, f.nacked ? f.untilMs : f.nackMs);
        }
        for (Peer p : peers.values()) {
            next = p.standing == MemberStatus.SUSPECT ? Math.min(next, p.sinceMs + waits(patience(p))) : next;
        }
        dueMs = Math.max(next, now);
        return next;
    }

    /** It was this process that was away: nobody is blamed, and suspects have their time from now on. */
    private void stoodStill(double now) {
        asked = 0;
        helpAtMs = Double.POSITIVE_INFINITY;
        nextMs = now + rules.periodMs() * random.nextDouble();
        favours.clear();
        peers.values().stream().filter(p -> p.standing == MemberStatus.SUSPECT).forEach(p -> p.sinceMs = now);
        ail(2);
    }

    /** From the most to the least as others suspect it as well. */
    private double patience(Peer p) {
        double part = Math.min(1, Math.log(Math.max(1, p.accusers.size())) / Math.log(CONFIRMATIONS + 1));
        return rules.maxSuspicionMs() - (rules.maxSuspicionMs() - rules.minSuspicionMs()) * part;
    }

    private void ask(double now) {
        nextMs = now + waits(rules.periodMs());
        if (round.isEmpty()) {
            round.addAll(peers.keySet());
            for (int i = round.size() - 1; i > 0; i--) {
                java.util.Collections.swap(round, i, random.nextInt(i + 1));
            }
        }
        if (round.isEmpty()) {
            return;
        }
        asked = round.remove(round.size() - 1);
        askedNumber = ++number;
        nacksWanted = 0;
        nacks = 0;
        helpAtMs = now + waits(rules.ackTimeoutMs());
        send(asked, Kind.PING, askedNumber, asked);
    }

    private void haveOthersAsk() {
        if (asked == 0) {
            return;
        }
        List<Long> able = new ArrayList<>(peers.keySet().stream()
                .filter(p -> p != asked && peers.get(p).standing == MemberStatus.ALIVE)
                .toList());
        for (int i = 0; i < rules.indirectProbes() && !able.isEmpty(); i++) {
            nacksWanted++;
            send(able.remove(random.nextInt(able.size())), Kind.PING_REQUEST, askedNumber, asked);
        }
    }

    private void endOfPeriod(double now) {
        Peer p = peers.get(asked);
        if (asked == 0 || p == null) {
            return;
        }
        // Helpers that said nothing at all: it may be this proxy that hears nobody.
        ail(nacksWanted > 0 ? nacksWanted - nacks : 1);
        if (nacksWanted == 0 || nacks > 0 || peers.size() == 1 || localHealthScore < MAX_HEALTH_SCORE) {
            accuse(p, me, p.incarnation, now);
        }
        asked = 0;
    }

    // ---- messages

    private void send(long to, Kind kind, long n, long about) {
        out.send(to, new SwimMessage(kind, n, about, news(to)));
    }

    /** What was passed on least goes first; to one who is not thought well of goes that. */
    private List<MemberUpdate> news(long to) {
        List<MemberUpdate> news = new ArrayList<>();
        int most = (int) Math.ceil(TELL * Math.log(peers.size() + 2) / Math.log(2));
        Peer of = peers.get(to);
        if (of != null && of.standing != MemberStatus.ALIVE) {
            news.add(new MemberUpdate(to, of.standing, of.incarnation));
        }
        if (ownTold < most) {
            ownTold++;
            news.add(new MemberUpdate(me, MemberStatus.ALIVE, incarnation));
        }
        peers.entrySet().stream()
                .filter(e -> e.getValue().told < most && e.getKey() != to)
                .sorted(Comparator.comparingInt(e -> e.getValue().told))
                .limit(SwimMessage.MAX_UPDATES - news.size())
                .forEach(e -> {
                    Peer p = e.getValue();
                    p.told++;
                    news.add(new MemberUpdate(e.getKey(), p.standing, p.incarnation));
                });
        return news;
    }

    /** A peer's message: whoever sends one is there. */
    public void receive(double now, long from, SwimMessage m) {
        if (!peers.containsKey(from)) {
            return;
        }
        m.updates().forEach(n -> told(now, from, n));
        switch (m.kind()) {
            case PING -> {
                if (m.target() == me) {
                    send(from, Kind.ACK, m.sequenceNumber(), me);
                }
            }
            case PING_REQUEST -> {
                if (peers.containsKey(m.target()) && favours.size() < MAX_RELAYED_PINGS) {
                    favours.put(
                            ++number,
                            new Favour(
                                    from,
                                    m.sequenceNumber(),
                                    m.target(),
                                    now + rules.ackTimeoutMs() * 0.8,
                                    now + waits(rules.periodMs())));
                    send(m.target(), Kind.PING, number, m.target());
                }
            }
            case ACK -> {
                Favour f = favours.get(m.sequenceNumber());
                if (f != null && f.about == from) {
                    favours.remove(m.sequenceNumber());
                    send(f.of, Kind.ACK, f.number, f.about);
                } else if (m.sequenceNumber() == askedNumber && asked != 0 && m.target() == asked) {
                    asked = 0;
                    helpAtMs = Double.POSITIVE_INFINITY;
                    ail(-1);
                }
            }
            default -> {
                if (m.sequenceNumber() == askedNumber && m.target() == asked) {
                    nacks++;
                }
            }
        }
    }

    private void told(double now, long from, MemberUpdate n) {
        if (n.memberId() == me) {
            if (n.status() != MemberStatus.ALIVE && n.incarnation() >= incarnation) {
                incarnation = n.incarnation() + 1; // I am here
                ownTold = 0;
                ail(1);
            } else if (n.status() == MemberStatus.ALIVE && n.incarnation() > incarnation) {
                incarnation = n.incarnation() + 1; // of an earlier life
                ownTold = 0;
            }
            return;
        }
        Peer p = peers.get(n.memberId());
        if (p == null) {
            return;
        }
        switch (n.status()) {
            case ALIVE -> {
                if (n.incarnation() > p.incarnation) {
                    set(p, MemberStatus.ALIVE, n.incarnation(), now);
                }
            }
            case SUSPECT -> {
                if (n.incarnation() >= p.incarnation) {
                    accuse(p, from, n.incarnation(), now);
                }
            }
            default -> {
                if (n.incarnation() >= p.incarnation && p.standing != MemberStatus.DEAD) {
                    set(p, MemberStatus.DEAD, n.incarnation(), now);
                }
            }
        }
    }

    private void accuse(Peer p, long by, int of, double now) {
        if (of > p.incarnation || p.standing == MemberStatus.ALIVE) {
            set(p, MemberStatus.SUSPECT, of, now);
        }
        if (p.standing == MemberStatus.SUSPECT && p.accusers.size() < CONFIRMATIONS + 1 && p.accusers.add(by)) {
            p.told = 0; // that one more suspects it is news
        }
    }

    private static void set(Peer p, MemberStatus standing, int incarnation, double now) {
        p.standing = standing;
        p.incarnation = incarnation;
        p.sinceMs = now;
        p.told = 0;
        p.accusers.clear();
    }
}
