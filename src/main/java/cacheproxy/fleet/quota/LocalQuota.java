package cacheproxy.fleet.quota;

/**
 * One proxy's local quota: its static share, minus donated capacity, plus capacity granted by allocators. A rate is
 * spent through a token bucket.
 *
 * <p>What may be spent is computed from the clock before each request, so a process that was paused finds its grants
 * expired. Admitting a request allocates no memory.
 */
public final class LocalQuota {
    /** The fraction of the share that is never donated, so that a first request is admitted at once. */
    private static final double NEVER_DONATED_FRACTION = 0.02;
    /** Donations below this fraction of the share are not worth a message. */
    private static final double MIN_DONATED_FRACTION = 0.02;
    /** Requests for more rate than owned are sent from this fraction of the quota. */
    private static final double MIN_REQUESTED_FRACTION = 1e-3;

    private static final double MIN_REQUESTED_CONCURRENT = 0.5;
    /** A demand so many times the last requested amount is requested before its time. */
    private static final double URGENT_GROWTH = 1.3;
    /** After this time a request or its reply counts as lost, or its allocator as failed. */
    private static final double REPLY_TIMEOUT_MS = 80;

    private static final double MIN_WAIT_MS = 1;
    private static final double MAX_WAIT_MS = 1000;
    /** The wait for a retry, as a part of the interval of requests for capacity. */
    private static final double WAITS_PER_REQUEST_INTERVAL = 4;
    /** Rounding errors must not turn a whole number into the one below. */
    private static final double ROUNDING = 1e-6;

    private final QuotaTiming timing;
    private final double spendsFromMs;
    private final DemandEstimator demand = new DemandEstimator();
    private final StaticShare share = new StaticShare();
    private final DonatedCapacity donated = new DonatedCapacity();
    private final ReceivedGrant grant = new ReceivedGrant();
    private final RequestHistory requests = new RequestHistory();
    private final TokenBucket bucket = new TokenBucket();
    private QuotaSpec spec;
    private int inUse;
    private long consumed;
    private long rejected;
    private double lastReplyMs = Double.NEGATIVE_INFINITY;
    private double isolatedSinceMs = Double.NaN;

    /**
     * Creates a quota without a share.
     *
     * @param startMs when the process started: what an earlier process may have donated is not spent
     */
    LocalQuota(QuotaSpec spec, QuotaTiming timing, double startMs) {
        this.spec = spec;
        this.timing = timing;
        spendsFromMs = startMs + timing.startupSilenceMs(spec);
    }

    /** Takes over the configuration: a smaller share at once, a larger one after others have given theirs up. */
    void configure(QuotaSpec newSpec, double ownedShare, double nowMs) {
        spec = newSpec;
        share.configure(ownedShare, nowMs + timing.donationWithheldMs(spec));
    }

    /** The definition in use. */
    QuotaSpec spec() {
        return spec;
    }

    // ---- capacity

    /** What is left of the own share after donations. */
    double owned(double nowMs) {
        return nowMs < spendsFromMs ? 0 : Math.max(0, share.amountAt(nowMs) - donated(nowMs));
    }

    /** What is donated of the own share. */
    double donated(double nowMs) {
        return donated.total(nowMs);
    }

    private double granted(double nowMs) {
        boolean decays = spec.whenIsolated() == QuotaSpec.IsolationPolicy.LAST;
        return grant.amountAt(nowMs, decays ? QuotaSpec.DECAY_GRANTS * timing.grantMs() : 0);
    }

    /** What may be spent at present: requests per second, or a whole number of concurrent requests. */
    public double capacity(double nowMs) {
        double total = owned(nowMs) + granted(nowMs);
        return spec.concurrent() ? Math.floor(total + ROUNDING) : total;
    }

    private void refill(double nowMs) {
        if (!spec.concurrent()) {
            double rate = capacity(nowMs);
            bucket.refill(nowMs, rate, 1 + spec.burst() * Math.min(1, rate / spec.amount()));
        }
    }

    /** Refills the bucket. Called so often that little is lost where no request arrives. */
    void tick(double nowMs) {
        refill(nowMs);
    }

    // ---- spending

    /**
     * Asks to admit a request, which counts as demand either way.
     *
     * @return 0 if {@link #consume} may follow at once; else after how many milliseconds a retry may succeed
     */
    public double admissionWaitMs(double nowMs) {
        demand.recordRequest(nowMs, inUse + 1);
        refill(nowMs);
        boolean admitted = spec.concurrent() ? inUse < capacity(nowMs) : bucket.hasToken();
        if (admitted) {
            return 0;
        }
        rejected++;
        return spec.concurrent() || bucket.rate() <= 0
                ? timing.requestIntervalMs() / WAITS_PER_REQUEST_INTERVAL
                : Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, bucket.waitMs()));
    }

    /** Admits the request for which {@link #admissionWaitMs} has just returned 0. */
    public void consume() {
        consumed++;
        if (spec.concurrent()) {
            inUse++;
        } else {
            bucket.take();
        }
    }

    /** An admitted request has ended. Has no effect on a rate. */
    public void release() {
        if (spec.concurrent() && inUse > 0) {
            inUse--;
        }
    }

    // ---- demand and donations

    /** What this proxy could use. */
    double demand(double nowMs) {
        return spec.concurrent() ? Math.max(inUse, demand.concurrent(nowMs)) : demand.perSecond(nowMs);
    }

    /** How much more than its own this proxy could use; 0 if that is not worth a request. */
    double shortfall(double nowMs) {
        double shortfall = demand(nowMs) - owned(nowMs);
        double minimum = spec.concurrent() ? MIN_REQUESTED_CONCURRENT : MIN_REQUESTED_FRACTION * spec.amount();
        return shortfall > minimum ? Math.min(shortfall, spec.amount()) : 0;
    }

    /** Donates what can be spared to an allocator, and spends none of it until it expires; returns the amount. */
    double donate(long allocator, double nowMs) {
        if (nowMs < spendsFromMs) {
            return 0; // an earlier process may have donated it
        }
        if (!donated.accepts(allocator, nowMs)) {
            return 0;
        }
        double spare = spare(allocator, nowMs);
        if (spare <= (spec.concurrent() ? 0 : MIN_DONATED_FRACTION * share.amountAt(nowMs))) {
            return 0;
        }
        refill(nowMs); // at the rate until now
        donated.add(allocator, spare, nowMs + timing.donationWithheldMs(spec));
        refill(nowMs);
        return spare;
    }

    /** What can be donated; requests in use beyond the share are covered by grants. */
    private double spare(long allocator, double nowMs) {
        double donatedToOthers = donated.totalExcept(allocator, nowMs);
        double kept = Math.max(demand(nowMs), NEVER_DONATED_FRACTION * share.amountAt(nowMs));
        double spare = share.amountAt(nowMs) - donatedToOthers - kept;
        return spec.concurrent() ? Math.floor(spare + ROUNDING) : spare;
    }

    // ---- requests for capacity and grants

    /** Whether it holds a grant that it could give back. */
    boolean holdsGrant(double nowMs) {
        return grant.isActive(nowMs);
    }

    /** Whether it holds more than twice what it needs, which others may be waiting for. */
    boolean holdsExcessGrant(double nowMs) {
        return holdsGrant(nowMs) && shortfall(nowMs) < grant.amount() / 2;
    }

    /** Whether the demand has grown notably since the last request. */
    boolean needsMore(double nowMs) {
        boolean isRecent = nowMs - requests.lastSentMs() <= timing.requestIntervalMs();
        return shortfall(nowMs) > URGENT_GROWTH * (isRecent ? requests.lastAmount() : 0);
    }

    /** Whether the last request is overdue. */
    boolean isRequestOverdue(double nowMs) {
        return nowMs - requests.lastSentMs() > REPLY_TIMEOUT_MS
                && lastReplyMs < requests.lastSentMs()
                && shortfall(nowMs) > 0;
    }

    /** A request for this amount is sent now; what is granted beyond it is given back. */
    void recordRequest(double amount, long requestId, double nowMs) {
        requests.add(requestId, amount, nowMs);
        if (grant.amount() > amount) {
            setGrant(amount, grant.untilMs(), nowMs);
        }
    }

    /**
     * An allocator's reply to a request.
     *
     * @param requestedMs when the request was sent: the grant counts from then
     */
    void receiveGrant(long allocator, double amount, long requestId, double requestedMs, double nowMs) {
        double limit = requests.smallestAmountSince(requestId);
        double usable = Math.min(amount, limit);
        if (limit < 0 || !grant.isReplacedBy(allocator, requestId, usable, nowMs)) {
            return;
        }
        grant.setSource(allocator, requestId);
        setGrant(Math.min(usable, spec.amount()), requestedMs + timing.spendableMs(), nowMs);
    }

    private void setGrant(double amount, double untilMs, double nowMs) {
        refill(nowMs); // at the rate until now
        grant.set(amount, untilMs);
        refill(nowMs);
    }

    /** An allocator has replied, whatever it granted. */
    void recordReply(double nowMs) {
        lastReplyMs = nowMs;
    }

    // ---- status

    /** Since when it needs more and no allocator has replied for the duration of a grant; NaN if that is not so. */
    double isolatedSinceMs(double nowMs) {
        if (shortfall(nowMs) <= 0 || nowMs - lastReplyMs <= timing.grantMs()) {
            isolatedSinceMs = Double.NaN;
        } else if (Double.isNaN(isolatedSinceMs)) {
            isolatedSinceMs = nowMs;
        }
        return isolatedSinceMs;
    }

    /** The quota as this proxy sees it. */
    QuotaStatus status(double nowMs) {
        return new QuotaStatus(
                spec,
                capacity(nowMs),
                owned(nowMs),
                donated(nowMs),
                demand(nowMs),
                inUse,
                consumed,
                rejected,
                isolatedSinceMs(nowMs));
    }
}
