package cacheproxy.fleet.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * What one proxy may spend of a limit: its share, less what it has lent, and what it was granted; of a rate through a
 * bucket. What may be spent is asked for right before it is spent, by the clock, so that a process that stood still
 * finds its grants over. Taking costs no garbage. Free of clocks and I/O; times in milliseconds that must not go back.
 */
public final class LocalQuota {
    /** Dealers that hold loans of it at once; to others it lends nothing. */
    static final int MOST_DEALERS = 4;
    /** Of the share that nobody needs so much is kept all the same: what comes next finds something. */
    static final double FLOOR = 0.02;

    private static final double MOST_WAIT_MS = 1000;
    private static final int ASKS = 16;
    /** An ask without an answer for so long was lost, or its dealer does not answer. */
    private static final double RETRY_MS = 80;
    /** So many times what was asked for is notably more. */
    private static final double MORE = 1.3;

    private final QuotaTiming rules;
    private final DemandEstimator demand = new DemandEstimator();
    private final Map<Long, OutstandingGrants> lent = new HashMap<>();
    private final double spendsFromMs;
    private QuotaSpec limit;
    private int proxies;
    private double share;
    private double growTo;
    private double growAtMs = Double.POSITIVE_INFINITY;
    private double granted;
    private double grantedUntilMs = Double.NEGATIVE_INFINITY;
    private long grantedBy;
    private long newest = Long.MIN_VALUE;
    /**
     * The asks that went out last, and how much each asked for: no more of any grant is kept, so that a dealer can
     * count on it.
     */
    private final long[] asked = new long[ASKS];

    private final double[] askedFor = new double[ASKS];
    private int asks;
    private double askedMs = Double.NEGATIVE_INFINITY;
    private double tokens;
    private double rateAt;
    private double at = Double.NaN;
    private int inHand;
    private long spent;
    private long refused;
    private double wordMs = Double.NEGATIVE_INFINITY;
    private double unheardSinceMs = Double.NaN;

    /** @param startMs when the process started */
    LocalQuota(QuotaSpec limit, QuotaTiming rules, double startMs) {
        this.limit = limit;
        this.rules = rules;
        spendsFromMs = startMs + rules.silenceMs(limit);
    }

    /**
     * The file counts from now on: a smaller share at once, a larger one when what others may still spend of it is
     * over.
     */
    void use(QuotaSpec other, double ownShare, int ofProxies, double now) {
        boolean first = proxies == 0;
        limit = other;
        proxies = ofProxies;
        if (first || ownShare <= share) {
            share = ownShare;
            growAtMs = Double.POSITIVE_INFINITY;
        } else if (ownShare != growTo || growAtMs == Double.POSITIVE_INFINITY) {
            growTo = ownShare;
            growAtMs = now + rules.keptMs(limit);
        }
    }

    QuotaSpec limit() {
        return limit;
    }

    // ---- what it may spend

    private double share(double now) {
        if (now >= growAtMs) {
            share = growTo;
            growAtMs = Double.POSITIVE_INFINITY;
        }
        return share;
    }

    /** What is left of its own. */
    double own(double now) {
        return now < spendsFromMs ? 0 : Math.max(0, share(now) - lentOut(now));
    }

    double lentOut(double now) {
        double sum = 0;
        if (!lent.isEmpty()) {
            for (OutstandingGrants l : lent.values()) {
                sum += l.at(now);
            }
        }
        return sum;
    }

    private double grantedNow(double now) {
        if (now < grantedUntilMs) {
            return granted;
        }
        double decays = limit.alone() == QuotaSpec.Alone.LAST ? QuotaSpec.DECAY * rules.grantMs() : 0;
        return now < grantedUntilMs + decays ? granted * (1 - (now - grantedUntilMs) / decays) : 0;
    }

    /** A second, or at once. */
    public double mine(double now) {
        double all = own(now) + grantedNow(now);
        return limit.atOnce() ? Math.floor(all + 1e-6) : all;
    }

    private void fill(double now) {
        double rate = mine(now);
        if (!Double.isNaN(at) && now > at) {
            // What changed in between changed at a time that is not known any more: the smaller counts.
            tokens += Math.min(rateAt, rate) * (now - at) / 1000;
        }
        double room = 1 + limit.burst() * Math.min(1, rate / limit.amount());
        tokens = Math.min(tokens, room);
        rateAt = rate;
        at = now;
    }

    /** Looks at what has changed since; often enough that little is lost where nobody asks. */
    void tick(double now) {
        if (!limit.atOnce()) {
            fill(now);
        }
    }

    /**
     * One more is asked for; it counts as wanted. 0: it may be taken; else milliseconds until it may be worth asking
     * again.
     */
    public double ask(double now) {
        demand.came(now, inHand + 1);
        if (limit.atOnce()) {
            if (inHand < mine(now)) {
                return 0;
            }
        } else {
            fill(now);
            if (tokens >= 1) {
                return 0;
            }
        }
        refused++;
        return limit.atOnce() || rateAt <= 0
                ? rules.beatMs() / 4
                : Math.min(MOST_WAIT_MS, Math.max(1, (1 - tokens) / rateAt * 1000));
    }

    /** Takes one, right after {@link #ask} has said that it may be taken. */
    public void take() {
        spent++;
        if (limit.atOnce()) {
            inHand++;
        } else {
            tokens--;
        }
    }

    /** One that was taken is over; of a rate nothing is given back. */
    public void give() {
        if (limit.atOnce() && inHand > 0) {
            inHand--;
        }
    }

    // ---- what is wanted and lent

    private double needs(double now) {
        return limit.atOnce() ? Math.max(inHand, demand.atOnce(now)) : demand.perSecond(now);
    }

    /** How much more than its own it could use. */
    double wants(double now) {
        double more = needs(now) - own(now);
        return more > (limit.atOnce() ? 0.5 : 1e-3 * limit.amount()) ? Math.min(more, limit.amount()) : 0;
    }

    /** Lends a dealer what it can do without, and keeps to it from now on; 0: nothing. */
    double lend(long dealer, double now) {
        if (now < spendsFromMs) {
            return 0; // it may be lent already
        }
        lent.values().removeIf(l -> l.over(now));
        OutstandingGrants line = lent.get(dealer);
        if (line == null && lent.size() >= MOST_DEALERS) {
            return 0;
        }
        double elsewhere = lentOut(now) - (line == null ? 0 : line.at(now));
        double free = share(now) - elsewhere - Math.max(needs(now), FLOOR * share(now));
        if (limit.atOnce()) {
            // What is in hand beyond its own is on grants, and these have their own cover.
            free = Math.floor(free + 1e-6);
        }
        if (free <= (limit.atOnce() ? 0 : 0.02 * share(now))) {
            return 0;
        }
        if (!limit.atOnce()) {
            fill(now); // at the rate that was
        }
        lent.computeIfAbsent(dealer, d -> new OutstandingGrants(true)).add(free, now + rules.keptMs(limit));
        if (!limit.atOnce()) {
            fill(now);
        }
        return free;
    }

    /** Whether it holds a grant that it would have to give back. */
    boolean holdsGrant(double now) {
        return granted > 0 && now < grantedUntilMs;
    }

    /** Whether it holds more than twice what it needs: others may be waiting for it. */
    boolean holdsTooMuch(double now) {
        return holdsGrant(now) && wants(now) < granted / 2;
    }

    /** Whether it could use notably more than it has asked for lately. */
    boolean needsMore(double now) {
        double last = asks == 0 || now - askedMs > rules.beatMs() ? 0 : askedFor[(asks - 1) % ASKS];
        return wants(now) > MORE * last;
    }

    /** Whether its last ask has had no answer for some time. */
    boolean unanswered(double now) {
        return now - askedMs > RETRY_MS && wordMs < askedMs && wants(now) > 0;
    }

    /** It asks for so much now, and gives back what it holds beyond that. */
    void asks(double amount, long number, double now) {
        askedMs = now;
        asked[asks % ASKS] = number;
        askedFor[asks++ % ASKS] = amount;
        if (granted > amount) {
            set(amount, grantedUntilMs, now);
        }
    }

    /**
     * A dealer's answer to an ask that went out then. What another dealer granted before goes on where it is more: it
     * is covered there, and that dealer can't be told.
     */
    void granted(long dealer, double amount, long number, double askedMs, double now) {
        double most = -1;
        for (int i = Math.max(0, asks - ASKS); i < asks; i++) {
            if (asked[i % ASKS] == number) {
                most = askedFor[i % ASKS];
            } else if (most >= 0) {
                most = Math.min(most, askedFor[i % ASKS]);
            }
        }
        double keeps = Math.min(amount, most);
        if (most < 0 || number < newest || number == newest && keeps <= granted) {
            return; // overtaken, or told again: more may have been lent since
        }
        if (dealer != grantedBy && now < grantedUntilMs && keeps < granted) {
            return;
        }
        newest = number;
        grantedBy = dealer;
        set(Math.min(keeps, limit.amount()), askedMs + rules.usedMs(), now);
    }

    private void set(double amount, double untilMs, double now) {
        if (limit.atOnce()) {
            granted = amount;
            grantedUntilMs = untilMs;
        } else {
            fill(now); // at the rate that was
            granted = amount;
            grantedUntilMs = untilMs;
            fill(now);
        }
    }

    /** A dealer has answered, whatever it gave. */
    void word(double now) {
        wordMs = now;
    }

    /** Since when it wants more and nobody has answered for a grant's time; NaN where that is not so. */
    double unheardSince(double now) {
        if (wants(now) <= 0 || now - wordMs <= rules.grantMs()) {
            unheardSinceMs = Double.NaN;
        } else if (Double.isNaN(unheardSinceMs)) {
            unheardSinceMs = now;
        }
        return unheardSinceMs;
    }

    int inHand() {
        return inHand;
    }

    long spent() {
        return spent;
    }

    long refusedCount() {
        return refused;
    }

    double needsNow(double now) {
        return needs(now);
    }
}
