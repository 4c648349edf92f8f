package cacheproxy.fleet.healthcheck;

import cacheproxy.fleet.healthcheck.HealthCheckMessage.Kind;
import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Trials of servers that seem to be sick, made once for a whole fleet: servers are dealt into shares, each share is a
 * duty, and who holds it makes the trial that any proxy wants; the others ask it and take its word. Whoever gets no
 * word in time goes by itself, and now and then does so where word contradicts what it sees: the way to a server may be
 * at fault on one side only. So this saves trials and never keeps a server out for longer than
 * {@link HealthCheckTiming#OWN_EVERY} of them. Free of I/O and clocks.
 */
public final class HealthCheckCoordinator {
    /** Servers that are asked about at once; for more one goes by oneself. */
    public static final int MAX_PENDING = 1024;
    /** Trials for others at once, and of who waits for each: who gets no word goes by itself. */
    public static final int MAX_RUNNING = 64;

    public static final int MAX_WAITERS = 256;
    /** Servers whose outcomes, or whose word, are kept in mind. */
    public static final int MAX_REMEMBERED = 4096;
    /** A trial without an end after so many times what it may take counts as failed. */
    private static final double LATE = 2;
    /** Asked in turn until one knows who holds the share. */
    private static final int MOST_HOPS = 3;

    /** Where messages and trials go, and who is told. */
    public interface HealthCheckOutbox {
        void send(long to, HealthCheckMessage m);

        /** Makes a trial from here, whose outcome comes by {@link #ended}; false: the server is not known here. */
        boolean start(int server);

        /** The outcome of what was wanted. */
        void report(int server, boolean sound);
    }

    /** Counts since the start, for operators. */
    public record HealthCheckCounts(
            long ownChecks, long checksForOthers, long reportedResults, long lateResults, long staleEpochResults) {}

    private record Waiter(long peer, long number) {}

    private static final class Want {
        final long number;
        final double untilMs;
        int hops;

        Want(long number, double untilMs) {
            this.number = number;
            this.untilMs = untilMs;
        }
    }

    private static final class Trial {
        final List<Waiter> waiting = new ArrayList<>();
        /** Its end should have come by then; a server whose trial never ends would stay out. */
        final double untilMs;

        boolean wanted;

        Trial(double untilMs) {
            this.untilMs = untilMs;
        }
    }

    private record Known(double atMs, boolean sound) {}

    private static final class Word {
        int unsound;
        double soundAtMs = Double.NEGATIVE_INFINITY;
    }

    private final long me;
    private final HealthCheckOutbox out;
    private final FencingTokenCheck guard = new FencingTokenCheck();
    private final Map<Integer, Want> wants = new HashMap<>();
    private final Map<Integer, Trial> trials = new HashMap<>();
    private final Map<Integer, Known> known = new HashMap<>();
    private final Map<Integer, Word> words = new HashMap<>();
    private HealthCheckTiming rules;
    private List<LeaseHandle> shares;
    private long numbers;
    private long own;
    private long forOthers;
    private long byWord;
    private long tooLate;
    private long olderEpochs;

    /**
     * @param numbers where the numbers of its questions begin: another process of this name began elsewhere
     * @param shares the duties, the same number at all proxies
     */
    public HealthCheckCoordinator(
            long me, long numbers, HealthCheckTiming rules, List<LeaseHandle> shares, HealthCheckOutbox out) {
        this.me = me;
        this.numbers = numbers;
        this.out = out;
        update(rules, shares);
    }

    /** Other figures from now on. */
    public void update(HealthCheckTiming other, List<LeaseHandle> duties) {
        rules = other;
        shares = List.copyOf(duties);
    }

    /** In which share a server is: by its number, so that all agree and neighbours are apart. */
    public static int shareOf(int server, int shares) {
        return Math.floorMod((server * 0x9E3779B9) >>> 8, shares);
    }

    private LeaseHandle tenure(int server) {
        return shares.get(shareOf(server, shares.size()));
    }

    // ---- what is wanted here

    /**
     * The module wants a trial; {@link Out#told} comes once, at the latest when one's own trial after the patience has
     * ended.
     */
    public void request(double now, int server) {
        if (wants.containsKey(server)) {
            return;
        }
        LeaseHandle t = tenure(server);
        long to = whom(now, t);
        if (wants.size() >= MAX_PENDING || mistrusts(now, server) || to == me || to == NameHash.NOBODY) {
            alone(now, server);
            return;
        }
        Want w = new Want(++numbers, now + rules.resultTimeoutMs());
        wants.put(server, w);
        out.send(to, new HealthCheckMessage(Kind.REQUEST, t.id(), server, w.number, 0, 0, false, 0));
    }

    private long whom(double now, LeaseHandle t) {
        if (t.permit(now, rules.timeoutMs()) >= 0) {
            return me;
        }
        long holder = t.holder(now);
        return holder != NameHash.NOBODY && holder != me
                ? holder
                : t.candidateOrder().stream().filter(p -> p != me).findFirst().orElse(NameHash.NOBODY);
    }

    /** Whether others' word on a server is at odds with what is seen here, or has stood alone for long. */
    private boolean mistrusts(double now, int server) {
        Word w = words.get(server);
        return w != null
                && (w.unsound >= HealthCheckTiming.OWN_CHECK_EVERY - 1
                        || now - w.soundAtMs < HealthCheckTiming.CONTRADICTION_WINDOW_MS);
    }

    private void alone(double now, int server) {
        wants.remove(server);
        own++;
        Trial t = trials.get(server);
        if (t == null) {
            t = new Trial(now + LATE * rules.timeoutMs());
            trials.put(server, t);
            t.wanted = true;
            if (!out.start(server)) {
                trials.remove(server);
                settled(server, false);
            }
        } else {
            t.wanted = true;
        }
    }

    private void settled(int server, boolean sound) {
        words.remove(server);
        out.report(server, sound);
    }

    // ---- messages

    public void receive(double now, long from, HealthCheckMessage m) {
        switch (m.kind()) {
            case REQUEST -> asked(now, from, m);
            case RESULT -> answered(now, m);
            default -> elsewhere(now, from, m);
        }
    }

    private void asked(double now, long from, HealthCheckMessage m) {
        LeaseHandle t = tenure(m.server());
        if (t.id() != m.leaseId()) {
            return; // it deals them out otherwise, and will go by itself
        }
        if (t.permit(now, rules.timeoutMs()) < 0) {
            refer(from, m, t.holder(now) == me ? NameHash.NOBODY : t.holder(now));
            return;
        }
        Known k = known.get(m.server());
        if (k != null && now - k.atMs <= rules.reuseMs()) {
            answer(now, from, m.server(), m.requestNumber(), k);
            return;
        }
        Trial trial = trials.get(m.server());
        if (trial == null) {
            trial = new Trial(now + LATE * rules.timeoutMs());
            trials.put(m.server(), trial);
            if (trials.size() > MAX_RUNNING || !out.start(m.server())) {
                trials.remove(m.server());
                refer(from, m, NameHash.NOBODY);
                return;
            }
            forOthers++;
        }
        if (trial.waiting.size() < MAX_WAITERS) {
            trial.waiting.add(new Waiter(from, m.requestNumber()));
        }
    }

    private void refer(long to, HealthCheckMessage m, long holder) {
        out.send(
                to,
                new HealthCheckMessage(Kind.REDIRECT, m.leaseId(), m.server(), m.requestNumber(), 0, holder, false, 0));
    }

    /** The epoch is asked for right before word goes out: who lost the duty during the trial says nothing. */
    private void answer(double now, long to, int server, long number, Known k) {
        LeaseHandle t = tenure(server);
        long epoch = t.permit(now, 0);
        if (epoch >= 0) {
            out.send(to, new HealthCheckMessage(Kind.RESULT, t.id(), server, number, epoch, 0, k.sound, (int)
                    Math.max(0, Math.round(now - k.atMs))));
        }
    }

    private void answered(double now, HealthCheckMessage m) {
        Want w = wants.get(m.server());
        if (w == null
                || w.number != m.requestNumber()
                || now > w.untilMs
                || m.ageMs() > rules.reuseMs() + rules.timeoutMs()) {
            tooLate++;
            return;
        }
        if (!guard.accepts(m.leaseId(), m.epoch())) {
            olderEpochs++;
            return;
        }
        wants.remove(m.server());
        byWord++;
        if (words.size() >= MAX_REMEMBERED) {
            words.clear(); // as if all were new: trust, with the same bounds
        }
        Word word = words.computeIfAbsent(m.server(), k -> new Word());
        word.unsound = m.healthy() ? 0 : word.unsound + 1;
        word.soundAtMs = m.healthy() ? now : Double.NEGATIVE_INFINITY;
        out.report(m.server(), m.healthy());
    }

    private void elsewhere(double now, long from, HealthCheckMessage m) {
        Want w = wants.get(m.server());
        if (w == null || w.number != m.requestNumber()) {
            return;
        }
        if (m.leaseHolder() == NameHash.NOBODY
                || m.leaseHolder() == me
                || m.leaseHolder() == from
                || ++w.hops >= MOST_HOPS) {
            alone(now, m.server());
        } else {
            out.send(
                    m.leaseHolder(),
                    new HealthCheckMessage(Kind.REQUEST, m.leaseId(), m.server(), w.number, 0, 0, false, 0));
        }
    }

    // ---- trials from here

    /** What a trial from here has shown. */
    public void finished(double now, int server, boolean sound) {
        Trial t = trials.remove(server);
        if (t == null) {
            return;
        }
        if (known.size() >= MAX_REMEMBERED) {
            forget(now);
        }
        Known k = new Known(now, sound);
        if (known.size() < MAX_REMEMBERED) {
            known.put(server, k);
        }
        t.waiting.forEach(w -> answer(now, w.peer, server, w.number, k));
        if (t.wanted) {
            settled(server, sound);
        }
    }

    /** A trial from here can't be made after all: nothing is said of it, and who waits goes by itself. */
    public void abandon(int server) {
        trials.remove(server);
    }

    private void forget(double now) {
        known.values().removeIf(k -> now - k.atMs > rules.reuseMs());
    }

    /** Goes by itself where no word came in time; when to call again, at the latest. */
    public double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        List<Integer> overdue = new ArrayList<>();
        for (Iterator<Map.Entry<Integer, Want>> it = wants.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<Integer, Want> e = it.next();
            if (now >= e.getValue().untilMs) {
                overdue.add(e.getKey());
            } else {
                next = Math.min(next, e.getValue().untilMs);
            }
        }
        overdue.forEach(server -> alone(now, server));
        List<Integer> endless = new ArrayList<>();
        for (Map.Entry<Integer, Trial> e : trials.entrySet()) {
            next = Math.min(next, Math.max(now, e.getValue().untilMs));
            if (now >= e.getValue().untilMs) {
                endless.add(e.getKey());
            }
        }
        endless.forEach(server -> finished(now, server, false));
        return next;
    }

    public HealthCheckCounts counts() {
        return new HealthCheckCounts(own, forOthers, byWord, tooLate, olderEpochs);
    }
}
