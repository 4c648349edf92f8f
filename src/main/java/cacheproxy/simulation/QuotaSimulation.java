package cacheproxy.simulation;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.fleet.quota.OvershootBound;
import cacheproxy.fleet.quota.QuotaManager;
import cacheproxy.fleet.quota.QuotaMessage;
import cacheproxy.fleet.quota.QuotaSpec;
import cacheproxy.fleet.quota.QuotaTiming;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A fleet that shares one limit, on one virtual clock: the real decisions of package {@code quota} at each proxy, with
 * links that lose, delay, double and cut, proxies that stand still, die and come back, clocks that drift; and other
 * ways of sharing beside them. The same plan and seed give the same figures. Times in milliseconds.
 */
public final class QuotaSimulation {
    /** How a limit is shared. */
    public enum Way {
        /** A dealer by lease, or whoever answers. */
        DEALER,
        /** Each proxy borrows for itself from all others. */
        PEERS,
        /** Each tells its demand to all and takes its part of the limit by it. */
        GOSSIP,
        /** Equal shares. */
        STATIC
    }

    /** What befalls proxies. */
    public enum Trouble {
        KILL,
        STOP,
        CUT,
        ONE_WAY,
        SPLIT,
        LOSS,
        LATE,
        TWICE
    }

    /**
     * A trouble from a time on, for so long.
     *
     * @param who proxies that it befalls; those of one side of a split; the senders whose datagrams are lost
     * @param figure the part that is lost, the lateness
     */
    public record Fault(Trouble trouble, double fromMs, double forMs, List<Integer> who, double figure) {}

    /**
     * What is played.
     *
     * @param offered requests a second at each proxy, in spans of {@code spanMs} that follow one another and begin
     *     again
     * @param workMs the longest time for which one is in hand
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    public record Plan(
            Way way,
            int proxies,
            QuotaSpec limit,
            QuotaTiming rules,
            double[][] offered,
            double spanMs,
            double workMs,
            double forMs,
            List<Fault> faults,
            long seed) {}

    /**
     * What came of it.
     *
     * @param over by window (100 ms, 1 s, 10 s) the most by which what was spent was over the rate's part of the
     *     window; at once: the most that was in hand in the first
     * @param idle the part of the limit that lay idle while that much was refused, in whole seconds from
     *     {@code judgedFrom} on
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    public record Result(double[] over, double idle, long spent, long refused, double messagesPerSecond) {}

    @SuppressWarnings("MutablePublicArray") // read by tests of other packages, changed by nobody
    public static final double[] WINDOWS = {100, 1000, 10_000};

    private static final double LEASE_MS = 1000;
    private static final double TAKEOVER_MS = 300;

    private record Event(double atMs, long n, int kind, int who, int from, long life, Object what)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int c = Double.compare(atMs, o.atMs);
            return c != 0 ? c : Long.compare(n, o.n);
        }
    }

    private static final int TICK = 0;
    private static final int MAIL = 1;
    private static final int REQUEST = 2;
    private static final int DONE = 3;
    private static final int FAULT = 4;
    private static final int HEAL = 5;

    private final class Proxy {
        final int index;
        final double drift;
        long life;
        boolean dead;
        boolean stopped;
        final List<Event> held = new ArrayList<>();
        QuotaManager quota;
        LocalQuota pocket;
        final Bucket bucket = new Bucket();
        final double[] demandOf = new double[plan.proxies];
        final double[] heardOf = new double[plan.proxies];

        Proxy(int index, double drift) {
            this.index = index;
            this.drift = drift;
        }

        double clock(double t) {
            return 1e6 * index + t * (1 + drift);
        }

        void born(double t) {
            life++;
            dead = false;
            held.clear();
            Arrays.fill(heardOf, Double.NEGATIVE_INFINITY);
            bucket.tokens = 0;
            bucket.at = clock(t);
            if (plan.way == Way.DEALER || plan.way == Way.PEERS) {
                quota = new QuotaManager(
                        index + 1,
                        plan.rules,
                        random.split(),
                        clock(t) - (t == 0 ? 1e5 : 0),
                        peer -> true,
                        (to, m) -> mail(index, (int) to - 1, m));
                List<Long> ids = new ArrayList<>();
                for (int i = 0; i < plan.proxies; i++) {
                    ids.add(i + 1L);
                }
                quota.configure(
                        List.of(plan.limit),
                        List.of(plan.way == Way.PEERS ? LeaseHandle.UNHELD : new Held(this)),
                        ids,
                        plan.proxies,
                        false,
                        true,
                        clock(t));
                pocket = quota.localQuota(plan.limit.name());
            }
            push(t + random.nextDouble() * 10, TICK, index, -1, life, null);
        }
    }

    /** A plain bucket with a rate of its own, for the other ways. */
    private static final class Bucket {
        double rate;
        double tokens;
        double at;
        double demand;

        boolean ask(double now, double burst) {
            demand += 1;
            tokens = Math.min(Math.max(1, burst), tokens + (now - at) * rate / 1000);
            at = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }

    /**
     * The duty: who reaches a majority holds it; who lost that holds it for a lease more, and another has it after
     * that.
     */
    private final class Held implements LeaseHandle {
        private final Proxy of;

        Held(Proxy of) {
            this.of = of;
        }

        @Override
        public long permit(double now, double actMs) {
            return holder == of.index && trueMs < holderUntilMs ? epoch : -1;
        }

        @Override
        public double remainingMs(double now) {
            return permit(now, 0) < 0 ? 0 : holderUntilMs - trueMs;
        }

        @Override
        public long holder(double now) {
            return holder < 0 ? NameHash.NOBODY : holder + 1;
        }

        @Override
        public List<Long> candidateOrder() {
            List<Long> ids = new ArrayList<>();
            for (int i = 0; i < plan.proxies; i++) {
                ids.add(i + 1L);
            }
            return ids;
        }

        @Override
        public long id() {
            return 1;
        }
    }

    private final Plan plan;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Fault> standing = new ArrayList<>();
    private long events0;
    private double trueMs;
    private int holder = -1;
    private long epoch;
    private double holderUntilMs;
    private double leaseLookedMs = Double.NEGATIVE_INFINITY;
    private long messages;
    private double[] spentAt = new double[1024];
    private int spent;
    private long refused;
    private int inHand;
    private int mostInHand;
    private final double[] refusedIn;
    private final double[] spentIn;

    private QuotaSimulation(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
        refusedIn = new double[(int) (plan.forMs / 1000) + 2];
        spentIn = new double[refusedIn.length];
    }

    public static Result play(Plan plan) {
        return new QuotaSimulation(plan).run();
    }

    private void push(double at, int kind, int who, int from, long life, Object what) {
        events.add(new Event(at, events0++, kind, who, from, life, what));
    }

    private Result run() {
        for (int i = 0; i < plan.proxies; i++) {
            proxies.add(new Proxy(i, plan.rules.maxDrift() * (2 * random.nextDouble() - 1)));
        }
        proxies.forEach(p -> p.born(0));
        for (int i = 0; i < plan.proxies; i++) {
            next(i, 0);
        }
        plan.faults.forEach(f -> push(f.fromMs, FAULT, 0, -1, 0, f));
        for (Event e; (e = events.poll()) != null && e.atMs <= plan.forMs; ) {
            trueMs = e.atMs;
            lease();
            happen(e);
        }
        return result();
    }

    private void happen(Event e) {
        switch (e.kind) {
            case FAULT -> begin((Fault) e.what);
            case HEAL -> heal((Fault) e.what);
            case REQUEST -> {
                request(proxies.get(e.who));
                next(e.who, e.atMs);
            }
            case DONE -> {
                inHand--;
                Proxy p = proxies.get(e.who);
                if (p.life == e.life && p.pocket != null) {
                    p.pocket.release();
                }
            }
            default -> {
                Proxy p = proxies.get(e.who);
                if (p.dead || (e.kind == TICK && e.life != p.life)) {
                    return;
                }
                if (p.stopped) {
                    p.held.add(e);
                } else if (e.kind == TICK) {
                    tick(p);
                } else {
                    hear(p, e.from, e.what);
                }
            }
        }
    }

    private void tick(Proxy p) {
        double now = p.clock(trueMs);
        double next;
        if (p.quota != null) {
            next = Math.max(1, (p.quota.tick(now) - now) / (1 + p.drift));
        } else {
            p.bucket.rate = plan.limit.amount() / plan.proxies;
            if (plan.way == Way.GOSSIP) {
                p.demandOf[p.index] +=
                        (p.bucket.demand * 1000 / plan.rules.requestIntervalMs() - p.demandOf[p.index]) / 3;
                p.bucket.demand = 0;
                p.heardOf[p.index] = now;
                double sum = 0;
                for (int i = 0; i < plan.proxies; i++) {
                    sum += now - p.heardOf[i] < plan.rules.grantMs() ? p.demandOf[i] + 0.01 : 0;
                }
                p.bucket.rate = plan.limit.amount() * (p.demandOf[p.index] + 0.01) / sum;
                for (int i = 0; i < plan.proxies; i++) {
                    if (i != p.index) {
                        mail(p.index, i, p.demandOf[p.index]);
                    }
                }
            }
            next = plan.rules.requestIntervalMs();
        }
        push(trueMs + Math.min(next, 20), TICK, p.index, -1, p.life, null);
    }

    private void hear(Proxy p, int from, Object what) {
        double now = p.clock(trueMs);
        if (what instanceof byte[] bytes) {
            QuotaMessage m = QuotaMessage.decode(bytes);
            p.quota.receive(now, from + 1, m);
            if (m.kind() != QuotaMessage.Kind.GRANT) {
                p.quota.tick(now);
            }
        } else {
            p.demandOf[from] = (Double) what;
            p.heardOf[from] = now;
        }
    }

    private void mail(int from, int to, Object what) {
        messages++;
        Object sent = what instanceof QuotaMessage m ? m.encode() : what;
        double late = 0.1 + random.nextDouble();
        int copies = 1;
        for (Fault f : standing) {
            boolean mine = f.who.contains(from);
            boolean yours = f.who.contains(to);
            switch (f.trouble) {
                case CUT -> copies = mine || yours ? 0 : copies;
                case ONE_WAY -> copies = mine ? 0 : copies;
                case SPLIT -> copies = mine != yours ? 0 : copies;
                case LOSS -> copies = random.nextDouble() < f.figure ? 0 : copies;
                case LATE -> late += f.figure * random.nextDouble();
                case TWICE -> copies *= 2;
                default -> {}
            }
        }
        for (int i = 0; i < copies; i++) {
            push(trueMs + late * (1 + i * random.nextDouble()), MAIL, to, from, 0, sent);
        }
    }

    /** The next request there: at random moments, by the rate of the span in which it falls. */
    private void next(int who, double at) {
        int span = (int) (at / plan.spanMs);
        double from = at;
        while (span * plan.spanMs < plan.forMs) {
            double[] rates = plan.offered[span % plan.offered.length];
            double rate = rates[who % rates.length];
            double due = rate <= 0 ? Double.POSITIVE_INFINITY : from - Math.log(1 - random.nextDouble()) / rate * 1000;
            if (due < (span + 1) * plan.spanMs) {
                push(due, REQUEST, who, -1, 0, null);
                return;
            }
            from = ++span * plan.spanMs;
        }
    }

    private void request(Proxy p) {
        if (p.dead || p.stopped) {
            return;
        }
        double now = p.clock(trueMs);
        boolean yes;
        if (p.pocket != null) {
            yes = p.pocket.requestWaitMs(now) == 0;
            if (yes) {
                p.pocket.consume();
            } else {
                if (p.quota.requestSoon(p.pocket, now)) {
                    p.quota.tick(now);
                }
            }
        } else {
            yes = p.bucket.ask(now, plan.limit.burst() / plan.proxies);
        }
        int second = (int) (trueMs / 1000);
        if (!yes) {
            refused++;
            refusedIn[second]++;
            return;
        }
        spentIn[second]++;
        if (spent == spentAt.length) {
            spentAt = Arrays.copyOf(spentAt, spent * 2);
        }
        spentAt[spent++] = trueMs;
        if (plan.limit.concurrent()) {
            mostInHand = Math.max(mostInHand, ++inHand);
            push(trueMs + plan.workMs * random.nextDouble(), DONE, p.index, -1, p.life, null);
        }
    }

    // ---- troubles

    private void begin(Fault f) {
        standing.add(f);
        for (int i : f.who) {
            Proxy p = proxies.get(i);
            if (f.trouble == Trouble.KILL) {
                p.dead = true;
                p.life++;
            } else if (f.trouble == Trouble.STOP) {
                p.stopped = true;
            }
        }
        push(trueMs + f.forMs, HEAL, 0, -1, 0, f);
    }

    private void heal(Fault f) {
        standing.remove(f);
        for (int i : f.who) {
            Proxy p = proxies.get(i);
            if (f.trouble == Trouble.KILL) {
                p.born(trueMs);
            } else if (f.trouble == Trouble.STOP
                    && standing.stream().noneMatch(o -> o.trouble == Trouble.STOP && o.who.contains(i))) {
                p.stopped = false;
                // What came meanwhile comes before its timers, or after them: by lot.
                List<Event> held = new ArrayList<>(p.held);
                p.held.clear();
                held.forEach(e -> push(trueMs + 0.01 * random.nextDouble(), e.kind, e.who, e.from, e.life, e.what));
            }
        }
    }

    private boolean reaches(int a, int b) {
        return standing.stream()
                .noneMatch(f -> (f.trouble == Trouble.SPLIT && f.who.contains(a) != f.who.contains(b))
                        || ((f.trouble == Trouble.CUT || f.trouble == Trouble.ONE_WAY)
                                && (f.who.contains(a) || f.who.contains(b))));
    }

    private boolean majority(int of) {
        Proxy p = proxies.get(of);
        if (p.dead || p.stopped) {
            return false;
        }
        int reached = 0;
        for (Proxy o : proxies) {
            reached += o.index == of || (!o.dead && !o.stopped && reaches(of, o.index)) ? 1 : 0;
        }
        return reached * 2 > plan.proxies;
    }

    private void lease() {
        if (plan.way != Way.DEALER || trueMs < leaseLookedMs + 10) {
            return;
        }
        leaseLookedMs = trueMs;
        if (holder >= 0 && majority(holder)) {
            holderUntilMs = trueMs + LEASE_MS;
        } else if (holder >= 0 && proxies.get(holder).dead) {
            holderUntilMs = Math.min(holderUntilMs, trueMs + LEASE_MS);
        }
        if (holder < 0 || trueMs > holderUntilMs + TAKEOVER_MS) {
            for (int i = 0; i < plan.proxies; i++) {
                if (majority(i)) {
                    holder = i;
                    epoch++;
                    holderUntilMs = trueMs + LEASE_MS;
                    return;
                }
            }
        }
    }

    // ---- figures

    private Result result() {
        double[] over = new double[WINDOWS.length];
        if (plan.limit.concurrent()) {
            over[0] = mostInHand - plan.limit.amount();
        } else {
            for (int w = 0; w < WINDOWS.length; w++) {
                int from = 0;
                over[w] = Double.NEGATIVE_INFINITY;
                for (int i = 0; i < spent; i++) {
                    while (spentAt[from] <= spentAt[i] - WINDOWS[w]) {
                        from++;
                    }
                    over[w] = Math.max(over[w], i - from + 1 - plan.limit.amount() * WINDOWS[w] / 1000);
                }
            }
        }
        int seconds = (int) (plan.forMs / 1000);
        double[] idle = new double[seconds];
        for (int s = 0; s < seconds; s++) {
            idle[s] = plan.limit.concurrent()
                    ? 0
                    : Math.min(refusedIn[s], Math.max(0, plan.limit.amount() - spentIn[s])) / plan.limit.amount();
        }
        return new Result(
                over,
                Arrays.stream(idle).skip(3).average().orElse(0),
                spent,
                refused,
                messages * 1000.0 / plan.forMs / plan.proxies);
    }

    /**
     * What may come beyond the limit's part of a window: what is saved up, and what clocks that run fast make of it.
     * Where a proxy without word goes on with its last grant the decay of all grants comes to it, once for each time
     * that the links fail.
     */
    public static double bound(QuotaSpec l, QuotaTiming rules, int proxies, double windowMs) {
        return OvershootBound.maxOvershoot(l, rules, proxies, windowMs);
    }
}
