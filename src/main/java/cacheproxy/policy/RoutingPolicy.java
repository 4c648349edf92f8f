package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.placement.Placement;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.placement.StartTimes;
import cacheproxy.siblings.Siblings;
import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedLoad;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.*;

/**
 * The decisions of one balancer instance. Types, events and actions: PolicyApi.java; hashes and ranking: Carp.java.
 * CARP's top score takes each request; what departs from it says at its place when it acts and what it guards.
 */
public final class RoutingPolicy implements PolicyApi {
    private static final int NUMBERS = (1 << 30) - 1;
    private static final int DUE = 0, PATIENCE = 1, AGAIN = 2, WATCH = 3;
    private static final int CACHE_TRIES = 2;
    private static final double DOUBT_SHARE = 0.05;
    private static final double DOUBT_SAVED = 5;
    /**
     * In a crowd a cold server takes less than it could, by this at most: kept empty, it leaves the crowd to the
     * others. Half the fleet gone and all tried three times at load 0.68 is 4.1 times, by this 2.7.
     */
    private static final double MOST_CROWDED = 1.5;
    /** Of a key's fair part: what a cold server may get at its first sight, and at each one after that. */
    private static final double FIRST_SIGHT = 3, LATER_SIGHT = 0.5;

    private static final int RANKS = 8;
    private static final int SHUN_CONNECTS = 10;

    private final PolicySettings cfg;
    private final SplittableRandom random;
    private final Map<Integer, Server> servers = new HashMap<>();
    private final Map<Integer, Flight> flights = new HashMap<>();
    /** Requests in hand by the number in their timers: a timer outlives its request, and must not keep it. */
    private final Map<Integer, Flight> numbered = new HashMap<>();

    private final Map<Long, Flight> fetches = new HashMap<>();
    private final HotKeys hot = new HotKeys();
    private final Throttle throttle = new Throttle();
    private final Throttle crowd = new Throttle();
    private final Shares shares;
    private Server[] ranked = new Server[0];
    private final PlacementFactory placements;
    private final AdmissionControl admission;
    private final StartTimes starts = new StartTimes();
    private boolean listed;
    private final Siblings siblings;
    private Placement placement;
    private int[] top = new int[RANKS];
    private Server origin;
    private double fetchMs;
    private double usualCost;
    private double pace;
    private double paceDeviation;
    private double doubts = DOUBT_SAVED;
    private double trials = 1;
    private int nextNumber;
    private boolean asking;
    private int watchFailures;

    /** One server of the list and what this instance has seen of it. */
    private static final class Server {
        final int id;
        Endpoint member;
        double share;
        int failures;
        double shunnedUntil;
        int doubts;
        boolean trial;
        boolean probed;
        /** Whether its failures are only remembered: this instance has seen none of its answers yet. */
        boolean recalled;
        /** When it was seen to have started since an earlier list; negative infinity: it was on the first. */
        double changedMs = Double.NEGATIVE_INFINITY;

        Server(int id) {
            this.id = id;
        }
    }

    private final class Flight {
        final RoutingRequest request;
        final ServiceClass kind;
        final boolean safe;
        final double arrivedMs;
        final int keyHash;
        final int number = ++nextNumber & NUMBERS;
        final Server[] at = new Server[cfg.maxAttempts()];
        final double[] sentAt = new double[cfg.maxAttempts()];
        final boolean[] ended = new boolean[cfg.maxAttempts()];
        int spread = 1;
        int seen = 1;
        int attempts;
        int out;
        boolean done;
        boolean streaming;
        boolean toOrigin;
        boolean waiting;
        boolean doubted;
        /** Whether siblings were asked, and whether it has gone on to the origin. */
        boolean asked;

        boolean fetching;
        double overdueAt;
        Server missedAt;
        double maybeRanSince = Double.NaN;
        Server maybeRanAt;
        ArrayDeque<Flight> followers;

        Flight(RoutingRequest request, double now) {
            this.request = request;
            arrivedMs = now;
            kind = cfg.classes().get(request.serviceClass());
            safe = kind.effect() == Idempotency.SAFE;
            keyHash = CarpHash.keyHash(key());
        }

        long key() {
            return request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id());
        }

        /** The work hinted at, in units of the usual; 1 where there is no hint. */
        double work() {
            return request.costMs() > 0 && usualCost > 0 ? request.costMs() / usualCost : 1;
        }
    }

    private static final class HotKeys {
        /** Halving span: long enough for a hot key to show at a proxy with a few requests a second. */
        static final double SPAN_MS = 4000;

        static final int MIN_COUNT = 6;
        static final int MOST_WIDE = 256;
        private final Map<Long, int[]> counts = new HashMap<>();
        /** Those that were spread since the last halving: the ones worth telling a successor. */
        private final Set<Long> wide = new HashSet<>();

        private double total;
        /** Lately, without what was remembered: more would make a hot key seem fair to a cold server. */
        private double own, ownAt, halvedAt;

        int seen(long key, double now) {
            while (now - halvedAt > SPAN_MS) {
                halvedAt = counts.isEmpty() ? now : halvedAt + SPAN_MS;
                total /= 2;
                counts.values().removeIf(c -> (c[0] /= 2) == 0);
                wide.removeIf(k -> counts.getOrDefault(k, new int[1])[0] < MIN_COUNT);
            }
            total++;
            own = own * Throttle.left(now - ownAt) + 1;
            ownAt = now;
            return ++counts.computeIfAbsent(key, k -> new int[1])[0];
        }

        LearnedHotKeys told(int most) {
            List<LearnedHotKey> keys = new ArrayList<>();
            for (Long k : wide) {
                int[] count = counts.get(k);
                if (count != null) {
                    keys.add(new LearnedHotKey(k, count[0]));
                }
            }
            keys.sort((a, b) -> Integer.compare(b.count(), a.count()));
            return new LearnedHotKeys(total, List.copyOf(keys.subList(0, Math.min(most, keys.size()))));
        }

        void recall(LearnedHotKeys told, double now) {
            halvedAt = counts.isEmpty() ? now : halvedAt;
            total += told.total();
            told.keys().forEach(k -> counts.computeIfAbsent(k.key(), n -> new int[1])[0] += k.count());
        }
    }

    /**
     * What the origin was asked and what it answered in time of that, both fading. Guards against the jam in which late
     * and refused fetches are asked for again and the origin works for nobody.
     */
    private static final class Throttle {
        /** Halves in this time: some ten fetches at a proxy with a few a second. */
        static final double HALF_MS = 4000;

        static final double HEADROOM = 1.2;
        private double asked;
        private double answered;
        /** What an earlier instance counted, fading alike. */
        private double priorAsked;

        private double priorAnswered;
        private double at;

        /** What is left of a count after this time. */
        static double left(double ms) {
            return Math.pow(0.5, ms / HALF_MS);
        }

        private void fade(double now) {
            double f = left(now - at);
            asked *= f;
            answered *= f;
            priorAsked *= f;
            priorAnswered *= f;
            at = now;
        }

        /** The part of what is wanted that should not be sent; what was recalled never lessens it. */
        double excess(double now) {
            fade(now);
            return Math.max(excess(asked, answered), excess(asked + priorAsked, answered + priorAnswered));
        }

        private static double excess(double asked, double answered) {
            return (asked - HEADROOM * answered - 1) / (asked + 1);
        }

        double pressure(double now) {
            fade(now);
            return Math.max(
                    1,
                    Math.max((asked + 1) / (answered + 1), (asked + priorAsked + 1) / (answered + priorAnswered + 1)));
        }

        LearnedLoad told(double now) {
            fade(now);
            return new LearnedLoad(asked + priorAsked, answered + priorAnswered);
        }

        void recall(double now, LearnedLoad told) {
            fade(now);
            priorAsked += told.sent();
            priorAnswered += told.answered();
        }

        void asked(double now) {
            fade(now);
            asked++;
        }

        void answered(double now) {
            fade(now);
            answered++;
        }
    }

    /**
     * What each tenant asks of this instance, fading. What must be refused comes off those that ask most over their
     * quotas (max-min fair), as that is worth little. Clients' repeats swell all alike.
     */
    private final class Shares {
        private final double[] asked = new double[cfg.tenants().size()];
        private double at;

        void asked(double now, int tenant) {
            double f = Throttle.left(now - at);
            at = now;
            for (int t = 0; t < asked.length; t++) {
                asked[t] *= f;
            }
            asked[tenant]++;
        }

        private double granted(int tenant, double multiple) {
            return Math.min(asked[tenant], multiple * cfg.tenants().get(tenant).quotaPerSecond());
        }

        /** The part of this tenant's requests to refuse so that in all the part {@code excess} is refused. */
        double refuse(int tenant, double excess) {
            double goal = 0;
            double high = 0;
            for (int t = 0; t < asked.length; t++) {
                goal += asked[t] * (1 - excess);
                high = Math.max(
                        high, asked[t] / Math.max(1e-9, cfg.tenants().get(t).quotaPerSecond()));
            }
            double low = 0;
            for (int step = 0; step < 24; step++) {
                double middle = (low + high) / 2;
                double sum = 0;
                for (int t = 0; t < asked.length; t++) {
                    sum += granted(t, middle);
                }
                if (sum < goal) {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            return 1 - granted(tenant, high) / asked[tenant];
        }
    }

    /** Whether to refuse this one where a part of all must be refused. */
    private boolean refused(Flight f, double excess) {
        if (excess <= 0) {
            return false;
        }
        return random.nextDouble() < (shares == null ? excess : shares.refuse(f.request.tenant(), excess));
    }

    /** A fresh instance that knows nothing yet. */
    public RoutingPolicy(PolicySettings settings, long seed) {
        this(settings, seed, CarpPlacement::new, AdmissionControl.UNLIMITED, Siblings.NONE);
    }

    /** One that ranks servers by this placement, keeps to these further bounds and may ask these siblings. */
    public RoutingPolicy(
            PolicySettings settings,
            long seed,
            PlacementFactory placements,
            AdmissionControl admission,
            Siblings siblings) {
        cfg = settings;
        this.placements = placements;
        this.admission = admission;
        this.siblings = siblings;
        placement = placements.create(List.of());
        random = new SplittableRandom(seed);
        shares = settings.overShareWorth() < 1 && settings.tenants().size() > 1 ? new Shares() : null;
        double shortestAim = settings.classes().stream()
                .mapToDouble(ServiceClass::aimMs)
                .min()
                .orElseThrow(() -> new IllegalArgumentException("settings name no class"));
        fetchMs = shortestAim / 4;
        pace = shortestAim / 8;
        paceDeviation = pace;
        if (settings.maxAttempts() < 1) {
            throw new IllegalArgumentException("max attempts " + settings.maxAttempts());
        }
    }

    // ---- the list

    @Override
    public void onList(double now, EndpointListKind kind, List<Endpoint> members, PolicyActions out) {
        if (kind == EndpointListKind.FAILED) {
            asking = false;
            askAgain(out);
            return;
        }
        if (kind == EndpointListKind.CACHED && cfg.askForList()) {
            // The list service is small: all instances starting together must not call at once.
            double span = Math.min(cfg.askWithinMs() / 2, cfg.instances() * cfg.connectTimeoutMs() / 2);
            timer(random.nextDouble() * span, WATCH, null, out);
        } else if (asking) {
            asking = false;
            watchFailures = 0;
        }
        check(members);
        if (kind != EndpointListKind.CHANGES) {
            Set<Integer> named = new HashSet<>();
            members.forEach(m -> named.add(m.id()));
            servers.values().removeIf(s -> !named.contains(s.id));
        }
        starts.recordList(now, members);
        for (Endpoint m : members) {
            if (m.state() == EndpointState.GONE) {
                servers.remove(m.id());
                continue;
            }
            Server s = servers.computeIfAbsent(m.id(), Server::new);
            if (s.member != null && s.member.bornMs() != m.bornMs()) {
                s.failures = 0;
                s.shunnedUntil = 0;
            }
            if (listed && (s.member == null || s.member.bornMs() != m.bornMs())) {
                s.changedMs = now;
            }
            s.member = m;
        }
        listed |= !servers.isEmpty();
        rank();
    }

    /** What this instance has learned, with at most so many hot keys. Spans count from now. */
    public LearnedState knowledge(double now, int mostKeys) {
        List<LearnedServer> told = new ArrayList<>();
        for (Server s : servers.values()) {
            if (s != origin && s.failures + s.doubts > 0) {
                double left = Math.max(0, s.shunnedUntil - now);
                told.add(new LearnedServer(s.id, s.member.bornMs(), s.failures, left, s.doubts));
            }
        }
        return new LearnedState(
                told,
                new LearnedLatency(fetchMs, usualCost, pace, paceDeviation, 1),
                throttle.told(now),
                crowd.told(now),
                hot.told(mostKeys));
    }

    /**
     * Takes in what an earlier instance learned of the servers on the list. After the list, before requests. It is
     * advice: no server is left out for longer than this instance would leave it out itself, the next answer overrules
     * what is remembered, and no cold server is sent more for it.
     */
    public void recall(double now, LearnedState known) {
        for (LearnedServer k : known.servers()) {
            Server s = servers.get(k.id());
            if (s == null || s == origin || s.member.bornMs() != k.startMs() || s.failures + s.doubts > 0) {
                continue;
            }
            s.failures = k.failures();
            s.doubts = k.overdueAttempts();
            s.shunnedUntil = now + Math.min(k.ejectedForMs(), shunMs(k.failures() - 1));
            s.recalled = k.failures() > 0;
        }
        LearnedLatency p = known.latency();
        fetchMs += (p.originMs() - fetchMs) * p.weight();
        pace += (p.averageMs() - pace) * p.weight();
        paceDeviation += (p.deviationMs() - paceDeviation) * p.weight();
        usualCost = usualCost > 0 || p.weight() == 0 ? usualCost : p.averageCost();
        throttle.recall(now, known.originLoad());
        crowd.recall(now, known.serverLoad());
        hot.recall(known.hotKeys(), now);
    }

    private void check(List<Endpoint> members) {
        Set<Integer> seen = new HashSet<>();
        for (Endpoint m : members) {
            String id = Integer.toUnsignedString(m.id());
            if (!seen.add(m.id())) {
                throw new IllegalArgumentException("member " + id + " is listed twice");
            }
            if (!(m.weight() >= 0) || Float.isInfinite(m.weight())) {
                throw new IllegalArgumentException("member " + id + " has weight " + m.weight());
            }
            if (m.zone() < 0 || m.zone() >= cfg.zones() || m.kind() < 0 || m.kind() >= cfg.kinds()) {
                throw new IllegalArgumentException("member " + id + ": zone " + m.zone() + ", kind " + m.kind());
            }
        }
    }

    private void rank() {
        origin = null;
        List<Server> list = new ArrayList<>();
        for (Server s : servers.values()) {
            if (s.member.state() != EndpointState.READY || siblings.is(s.member)) {
                continue;
            }
            if (cfg.aside() && s.member.kind() == cfg.originKind()) {
                origin = s;
            } else {
                list.add(s);
            }
        }
        list.sort((a, b) -> Integer.compareUnsigned(a.id, b.id));
        ranked = list.toArray(new Server[0]);
        float[] weights = new float[ranked.length];
        double sum = 0;
        for (int i = 0; i < ranked.length; i++) {
            weights[i] = ranked[i].member.weight();
            sum += weights[i];
        }
        placement = placements.create(list.stream().map(s -> s.member).toList());
        for (int i = 0; i < ranked.length; i++) {
            ranked[i].share = sum > 0 ? weights[i] / sum : 1.0 / ranked.length;
        }
    }

    private void askAgain(PolicyActions out) {
        watchFailures++;
        double wait = cfg.askWithinMs() / 16 * (1 << Math.min(watchFailures, 3));
        timer(wait * (0.5 + random.nextDouble() / 2), WATCH, null, out);
    }

    // ---- requests

    @Override
    public void onRequest(double now, RoutingRequest request, PolicyActions out) {
        if (request.serviceClass() < 0
                || request.serviceClass() >= cfg.classes().size()) {
            throw new IllegalArgumentException("class " + request.serviceClass() + " is not in the settings");
        }
        if (request.tenant() < 0
                || (request.tenant() > 0 && request.tenant() >= cfg.tenants().size())) {
            throw new IllegalArgumentException("tenant " + request.tenant() + " is not in the settings");
        }
        if (request.costMs() > 0) {
            usualCost += (request.costMs() - usualCost) / (usualCost > 0 ? 32 : 1);
        }
        if (shares != null) {
            shares.asked(now, request.tenant());
        }
        trials = Math.min(1, trials + DOUBT_SHARE);
        Flight f = new Flight(request, now);
        flights.put(request.id(), f);
        numbered.put(f.number, f);
        timer(Math.max(0, request.dueMs() - now), DUE, f, out);
        f.toOrigin = cfg.aside() && request.write();
        if (!f.toOrigin && request.key() != 0) {
            f.seen = hot.seen(request.key(), now);
            f.spread = spread(request.key(), f.seen);
        }
        advance(now, f, out);
    }

    /**
     * The draft sends all of a key to one member. A key that locally exceeds a server's fair part is spread over as
     * many of its top ranks as bring each under that, wherever it is as hot.
     */
    private int spread(long key, int seen) {
        int all = placement.maxHotKeySpread();
        int n = seen < HotKeys.MIN_COUNT ? 1 : (int) Math.ceil(seen / hot.total * all);
        if (n > 1 && hot.wide.size() < HotKeys.MOST_WIDE) {
            hot.wide.add(key);
        }
        return Math.max(1, Math.min(n, all));
    }

    private void advance(double now, Flight f, PolicyActions out) {
        f.waiting = false;
        boolean worthless = f.safe && f.kind.lateShare() == 0 && now > f.arrivedMs + f.kind.aimMs();
        if (f.done || f.streaming) {
            return;
        }
        Server s = null;
        if (!worthless && f.attempts < cfg.maxAttempts() && now < f.request.dueMs()) {
            s = f.toOrigin || (cfg.aside() && f.safe && f.attempts >= CACHE_TRIES && f.missedAt == null)
                    ? origin
                    : choose(now, f, out);
            if (s == null && cfg.aside() && f.safe) {
                s = origin;
            }
        }
        if (s == null || !maySend(now, f, s)) {
            giveUp(f, out);
            release(now, f, out);
            return;
        }
        // A fetch after a miss is the request's ordinary way. All else is more work for a fleet in trouble.
        if (f.attempts > 0 && !(s == origin && f.missedAt != null) && !admission.admitRetry(now)) {
            giveUp(f, out);
            return;
        }
        if (s != origin && f.attempts == 0 && f.safe && refused(f, crowd.excess(now))) {
            s.trial = false; // one that is not sent has no end that could clear it, and s would stay out
            giveUp(f, out);
            return;
        }
        if (s == origin && !f.request.write() && f.request.key() != 0) {
            Flight leader = fetches.get(f.request.key());
            if (leader != null && (leader != f || f.fetching)) {
                f.waiting = leader != f && leader.followers.add(f);
                return;
            }
            if (ask(now, f, out)) {
                return;
            }
            double excess = throttle.excess(now);
            boolean tooLate = excess > 0 && now + fetchMs > f.arrivedMs + f.kind.aimMs();
            if (!tooLate) { // who is turned away as too late does not count, or the throttle stays shut
                throttle.asked(now);
            }
            if (tooLate || refused(f, excess)) {
                giveUp(f, out);
                release(now, f, out);
                return;
            }
            lead(f);
            f.fetching = true;
        } else if (s == origin) {
            throttle.asked(now);
        }
        place(now, f, s, out);
    }

    private void lead(Flight f) {
        if (fetches.putIfAbsent(f.request.key(), f) == null) {
            f.followers = new ArrayDeque<>();
        }
    }

    /** Those who waited with one that will not fetch go on without it. */
    private void release(double now, Flight f, PolicyActions out) {
        if (f.done && f.followers != null && !f.fetching && f.out == 0) {
            fetchEnded(now, f, false, out);
        }
    }

    /** After a miss siblings are asked before the origin, if that is worth the wait; one question a key. */
    private boolean ask(double now, Flight f, PolicyActions out) {
        if (f.asked || f.missedAt == null || f.out > 0 || f.attempts + 2 > cfg.maxAttempts()) {
            return false;
        }
        double left = Math.min(f.arrivedMs + f.kind.aimMs(), f.request.dueMs()) - now;
        double wait = siblings.waitMs(now, fetchMs, left, throttle.pressure(now));
        if (wait <= 0) {
            return false;
        }
        f.asked = f.waiting = true;
        lead(f);
        timer(wait, AGAIN, f, out);
        out.ask(f.request.id(), wait);
        return true;
    }

    @Override
    public void onSibling(double now, int request, int sibling, PolicyActions out) {
        Flight f = flights.get(request);
        if (f == null || f.done || !f.waiting || f.fetching || fetches.get(f.request.key()) != f) {
            return;
        }
        Server s = servers.get(sibling);
        if (s != null && siblings.is(s.member) && s.member.state() == EndpointState.READY) {
            f.waiting = false;
            place(now, f, s, out);
        } else {
            advance(now, f, out);
        }
    }

    private void place(double now, Flight f, Server s, PolicyActions out) {
        int a = f.attempts++;
        if (a == 0) {
            admission.recordFirstAttempt(now);
        }
        f.at[a] = s;
        f.sentAt[a] = now;
        f.out++;
        boolean worthlessLate = s != origin && f.safe && f.kind.lateShare() == 0;
        out.place(f.request.id(), s.id, worthlessLate ? Math.max(1, f.arrivedMs + f.kind.aimMs() - now) : 0);
        if (s != origin && f.safe && f.attempts < cfg.maxAttempts() && f.attempts <= CACHE_TRIES) {
            double patience = patience(now, f);
            f.overdueAt = now + patience;
            timer(patience, PATIENCE, f, out);
        }
    }

    /**
     * How long a cache server may take before it is doubted: three deviations over the usual time for the work hinted
     * at, but early enough that runner-up and origin can still answer within the aim.
     */
    private double patience(double now, Flight f) {
        double usual = (pace + 3 * paceDeviation) * f.work();
        double left = Math.min(f.kind.aimMs(), f.request.dueMs() - now);
        return Math.max(left / 4, Math.min(usual, left - 2 * fetchMs));
    }

    /**
     * The server is overdue: runner-up if the budget allows; guards against silent and hung servers. Where the attempt
     * stays out, its answer clears the server; where it must be called off, one slow answer is no evidence, two in a
     * row are: shunning sound servers moves their keys to the origin.
     */
    private void overdue(double now, Flight f, PolicyActions out) {
        int a = f.attempts - 1;
        Server s = f.at[a];
        if (f.done || f.streaming || f.ended[a] || s == origin || now < f.overdueAt) {
            return; // the timer of an attempt that has ended says nothing of the one that followed it
        }
        if (!siblings.is(s.member) && (cfg.secondCopies() || ++s.doubts > 1)) {
            suspect(now, s);
        }
        if (doubts < 1 || f.request.dueMs() - now < fetchMs || (!cfg.secondCopies() && !cfg.mayCancel())) {
            return;
        }
        doubts--;
        f.doubted = true;
        if (cfg.secondCopies()) {
            advance(now, f, out);
        } else {
            out.cancel(f.request.id(), a);
        }
    }

    private void suspect(double now, Server s) {
        s.trial = false;
        s.probed = false;
        s.shunnedUntil = now + shunMs(s.failures);
        s.failures++;
    }

    /** How long a server is left out that has failed so often before. */
    private double shunMs(int failures) {
        return SHUN_CONNECTS * cfg.connectTimeoutMs() * (1 << Math.max(0, Math.min(failures, 3)));
    }

    private boolean maySend(double now, Flight f, Server s) {
        if (f.out > 0 && !(cfg.secondCopies() && f.safe)) {
            return false;
        }
        if (Double.isNaN(f.maybeRanSince) || f.safe) {
            return true;
        }
        return f.kind.effect() == Idempotency.KEYED
                && now < f.maybeRanSince + f.kind.windowMs()
                && sameGroup(f.kind.group(), f.maybeRanAt.member, s.member);
    }

    private static boolean sameGroup(DeduplicationScope group, Endpoint a, Endpoint b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.cell() == b.cell();
        };
    }

    private void giveUp(Flight f, PolicyActions out) {
        if (f.out > 0 && f.safe) {
            return;
        }
        answer(f, out);
        finish(f);
    }

    /** The final answer: a refusal only where no attempt may have run. */
    private void answer(Flight f, PolicyActions out) {
        if (f.safe || (Double.isNaN(f.maybeRanSince) && f.out == 0)) {
            // Told nothing, a client asks again at once, into the jam that it was turned away for. Within the
            // usual time of an answer places come free; spread over it, clients don't return together.
            double wait = Math.max(1, Math.min(cfg.maxRetryAfterMs(), pace * random.nextDouble()));
            out.deny(f.request.id(), cfg.retryAdvice() ? wait : 0);
        } else {
            out.fail(f.request.id());
        }
    }

    private void finish(Flight f) {
        f.done = true;
        if (f.out == 0) {
            flights.remove(f.request.id());
            numbered.remove(f.number);
        }
    }

    // ---- choice of a server

    private Server choose(double now, Flight f, PolicyActions out) {
        int want = Math.min(ranked.length, Math.max(RANKS, f.spread + RANKS));
        int most = placement.maxRanked(want);
        if (top.length < most) {
            top = new int[most];
        }
        int count = want == 0 ? 0 : placement.rank(f.key(), f.keyHash, want, top);
        int offset = f.spread > 1 ? random.nextInt(f.spread) : 0;
        Server untried = null;
        boolean remembered = false;
        for (int i = 0; i < count; i++) {
            Server s = ranked[top[i < f.spread ? (i + offset) % f.spread : i]];
            if (tried(f, s) && s != f.missedAt) {
                continue;
            }
            if (untried == null && !cold(now, s)) {
                untried = s;
            }
            // Without the memory of those before it, a cold server would not have been reached.
            if (!(remembered && cold(now, s)) && open(now, f, s, out)) {
                return s;
            }
            remembered |= s.recalled;
        }
        return untried;
    }

    private static boolean tried(Flight f, Server s) {
        for (int a = 0; a < f.attempts; a++) {
            if (f.at[a] == s) {
                return true;
            }
        }
        return false;
    }

    private boolean open(double now, Flight f, Server s, PolicyActions out) {
        if (s.failures == 0 || (s.probed && !s.trial)) {
            return warmEnough(now, f, s);
        }
        // A trial that a cold server's limit turns away has no end that could clear it, and s would stay out.
        if (now < s.shunnedUntil
                || s.trial
                || !f.safe
                || f.attempts > 0
                || trials < 1
                || (!cfg.mayProbe() && !(warmEnough(now, f, s) && admission.admitHalfOpenProbe(now, s.member)))) {
            return false;
        }
        trials--;
        s.trial = true;
        if (cfg.mayProbe()) {
            out.probe(s.id);
        }
        return !cfg.mayProbe();
    }

    private boolean warmEnough(double now, Flight f, Server s) {
        if (!cold(now, s)) {
            return true;
        }
        if (f.attempts > 0 || f.spread > 1) {
            return false;
        }
        double started = starts.startedMs(s.member.bornMs(), s.changedMs);
        double age = now - started;
        double capacity = cfg.startCapacity() + (1 - cfg.startCapacity()) * Math.max(0, age) / cfg.warmUpMs();
        double ramp = capacity / Math.min(MOST_CROWDED, crowd.pressure(now));
        // Each takes its part by chance: of keys chosen alike by all, a new hot one would come from all. Who
        // has just started takes each hot key for a new one, and lets few in until it has seen some requests.
        double part = hot.own * s.share * (f.seen > 1 ? LATER_SIGHT : FIRST_SIGHT);
        return random.nextDouble() < ramp * Math.min(1, part / f.seen)
                && admission.admitWarmingUp(now, s.member, started);
    }

    private boolean cold(double now, Server s) {
        return s.member.bornMs() != 0 && now - starts.startedMs(s.member.bornMs(), s.changedMs) < cfg.warmUpMs();
    }

    // ---- ends of attempts

    @Override
    public void onAttemptEnd(double now, AttemptResult end, PolicyActions out) {
        Flight f = flights.get(end.request());
        if (f == null || end.attempt() >= f.attempts || f.ended[end.attempt()]) {
            return;
        }
        Server s = f.at[end.attempt()];
        f.ended[end.attempt()] = true;
        f.out--;
        learn(now, f, s, end);
        if (end.outcome().mayHaveRun() && Double.isNaN(f.maybeRanSince)) {
            f.maybeRanSince = f.sentAt[end.attempt()];
            f.maybeRanAt = s;
        }
        boolean wasDone = f.done;
        if (end.over() || f.done) {
            finish(f);
        }
        if (f.followers != null && s == origin) {
            fetchEnded(now, f, end.outcome() == AttemptOutcome.OK, out);
        } else if (f.followers != null && end.outcome() == AttemptOutcome.OK && siblings.is(s.member)) {
            for (Flight w : unlead(f)) { // what it has is not stored here: each fetches it there
                if (!w.done && w.waiting && w.attempts < cfg.maxAttempts()) {
                    w.waiting = false;
                    w.asked = true;
                    place(now, w, s, out);
                }
            }
        }
        release(now, f, out);
        if (!wasDone && end.over()) {
            cancelRest(f, out);
        } else if (!f.done) {
            next(now, f, s, end, out);
        }
    }

    private void next(double now, Flight f, Server s, AttemptResult end, PolicyActions out) {
        if (end.outcome() == AttemptOutcome.MISS && !siblings.is(s.member)) {
            f.toOrigin = true;
            f.missedAt = s;
            if (end.note() == NOTE_FETCH_OUT && f.attempts + 2 <= cfg.maxAttempts()) {
                f.toOrigin = false;
                f.waiting = true;
                timer(fetchMs, AGAIN, f, out);
                return;
            }
        } else if (s == origin
                && end.outcome() == AttemptOutcome.FULL
                && f.request.write()
                && f.attempts < cfg.maxAttempts()) {
            f.waiting = true;
            timer(fetchMs * (0.5 + random.nextDouble()), AGAIN, f, out);
            return;
        }
        if (s == origin && !f.request.write()) {
            giveUp(f, out);
        } else if (f.out == 0 || (f.safe && cfg.secondCopies())) {
            advance(now, f, out);
        }
    }

    private void cancelRest(Flight f, PolicyActions out) {
        for (int a = 0; cfg.mayCancel() && a < f.attempts; a++) {
            if (!f.ended[a]) {
                out.cancel(f.request.id(), a);
            }
        }
    }

    /** Those who waited for a fetch find its object where it was missed; where the fetch failed, one of them tries. */
    private void fetchEnded(double now, Flight f, boolean stored, PolicyActions out) {
        for (Flight w : unlead(f)) {
            if (w.done || !w.waiting) {
                continue;
            }
            w.toOrigin = !stored || w.attempts + 2 > cfg.maxAttempts();
            advance(now, w, out);
        }
    }

    private ArrayDeque<Flight> unlead(Flight f) {
        ArrayDeque<Flight> followers = f.followers;
        fetches.remove(f.request.key());
        f.followers = null;
        return followers;
    }

    private void learn(double now, Flight f, Server s, AttemptResult end) {
        if (siblings.is(s.member)) {
            siblings.fetched(now, s.id, end.outcome(), end.elapsedMs());
            return;
        }
        s.recalled = false;
        if (f.doubted && end.attempt() > 0 && end.outcome() == AttemptOutcome.OK) {
            doubts++;
        }
        switch (end.outcome()) {
            case OK, MISS, FULL -> {
                if (s != origin && end.outcome() == AttemptOutcome.FULL && end.attempt() > 0) {
                    crowd.asked(now);
                }
                boolean timely = end.elapsedMs() <= f.kind.aimMs() || crowd.pressure(now) > Throttle.HEADROOM;
                if (s == origin || timely) {
                    s.failures = s.doubts = 0;
                }
                s.trial = false;
                if (s != origin && end.outcome() == AttemptOutcome.OK) {
                    crowd.asked(now);
                    if (end.elapsedMs() <= f.kind.aimMs() - fetchMs) {
                        crowd.answered(now);
                    }
                    double x = end.elapsedMs() / f.work();
                    paceDeviation += (Math.abs(x - pace) - paceDeviation) / 16;
                    pace += (x - pace) / 16;
                    doubts = Math.min(DOUBT_SAVED, doubts + DOUBT_SHARE);
                }
                if (s == origin && end.outcome() == AttemptOutcome.OK) {
                    if (now <= f.arrivedMs + f.kind.aimMs()) {
                        throttle.answered(now);
                    }
                    fetchMs += (end.elapsedMs() - fetchMs) / 8;
                }
            }
            case CONNECT_FAILED, RESET, TIMEOUT -> {
                if (s != origin) {
                    boolean shared = crowd.pressure(now) > Throttle.HEADROOM;
                    if (end.outcome() == AttemptOutcome.TIMEOUT && s.failures <= (shared ? 1 : 0)) {
                        crowd.asked(now);
                    }
                    if (end.outcome() != AttemptOutcome.RESET || s.failures > 0 || ++s.doubts > 1) {
                        suspect(now, s);
                    }
                }
            }
            default -> s.trial = false;
        }
    }

    @Override
    public void onFirstByte(double now, int request, int attempt, int server, PolicyActions out) {
        Flight f = flights.get(request);
        if (f != null) {
            f.streaming = true;
        }
    }

    @Override
    public void onGone(double now, int request, PolicyActions out) {
        Flight f = flights.get(request);
        if (f != null && !f.done) {
            leave(now, f, out);
        }
    }

    private void leave(double now, Flight f, PolicyActions out) {
        finish(f);
        if (f.streaming) {
            return;
        }
        if (f.followers == null || f.followers.isEmpty()) {
            cancelRest(f, out);
        }
        release(now, f, out);
    }

    /** Whether a server is known to be sound: ready, warm and not left out; what siblings are told of. */
    public boolean sound(double now, int server) {
        Server s = servers.get(server);
        return s != null && s.member.state() == EndpointState.READY && s.failures == 0 && !cold(now, s);
    }

    /** Whether servers or origin lately answered too little in time to take in more than clients ask. */
    public boolean pressed(double now) {
        return crowd.pressure(now) > Throttle.HEADROOM || throttle.pressure(now) > Throttle.HEADROOM;
    }

    @Override
    public void onTimer(double now, int token, PolicyActions out) {
        Flight f = numbered.get(token >>> 2);
        switch (token & 3) {
            case DUE -> {
                if (f != null && !f.done && !f.streaming) {
                    answer(f, out);
                    leave(now, f, out);
                }
            }
            case PATIENCE -> {
                if (f != null) {
                    overdue(now, f, out);
                }
            }
            case AGAIN -> {
                if (f != null && f.waiting) {
                    advance(now, f, out);
                }
            }
            case WATCH -> {
                if (!asking) {
                    asking = true;
                    out.watch(true);
                }
            }
        }
    }

    private void timer(double afterMs, int kind, Flight f, PolicyActions out) {
        out.setTimer(afterMs, (f == null ? 0 : f.number << 2) | kind);
    }

    @Override
    public void onProbed(
            double now, int server, AttemptOutcome outcome, double elapsedMs, float[] report, PolicyActions out) {
        Server s = servers.get(server);
        if (s == null || s.failures == 0) {
            return;
        }
        if (outcome == AttemptOutcome.OK) {
            s.trial = false;
            s.probed = true;
        } else {
            suspect(now, s);
        }
    }

    @Override
    public void onPeer(double now, int peer, byte[] message, PolicyActions out) {}
}
