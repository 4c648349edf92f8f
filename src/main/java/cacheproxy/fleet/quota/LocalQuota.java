package cacheproxy.fleet.quota;

/**
 * One proxy's local quota: its static share, minus donated capacity, plus capacity granted by allocators. Rates are
 * enforced by a token bucket.
 *
 * <p>What may be spent is computed from the clock before each request, so a process that was paused finds its grants
 * expired. Admitting a request allocates no memory.
 */
public final class LocalQuota {
    /** The fraction of the share that is never donated, so that a first request is admitted immediately. */
    private static final double NEVER_DONATED_FRACTION = 0.02;
    /** Donations below this fraction of the share are not worth a message. */
    private static final double MIN_DONATED_FRACTION = 0.02;
    /** A shortfall of a rate quota is requested only if it exceeds this fraction of the quota. */
    private static final double MIN_REQUESTED_FRACTION = 1e-3;

    private static final double MIN_REQUESTED_CONCURRENT = 0.5;
    /**
     * A shortfall that exceeds the last requested amount by this factor is requested before the usual interval has
     * passed.
     */
    private static final double URGENT_GROWTH = 1.3;
    /** After this time a request or its reply counts as lost, or its allocator as failed. */
    private static final double REPLY_TIMEOUT_MS = 80;

    private static final double MIN_WAIT_MS = 1;
    private static final double MAX_WAIT_MS = 1000;
    /** The interval of requests for capacity divided by this is the wait before a retry. */
    private static final double WAITS_PER_REQUEST_INTERVAL = 4;
    /** Tolerance that keeps rounding errors from turning a whole number into the next lower one. */
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
     * @param startMs when the process started; capacity that an earlier process may have donated is not spent
     */
    LocalQuota(QuotaSpec spec, QuotaTiming timing, double startMs) {
        this.spec = spec;
        this.timing = timing;
        spendsFromMs = startMs + timing.startupSilenceMs(spec);
    }

    /**
     * Applies a configuration: a smaller share takes effect immediately, a larger one after other proxies have given up
     * theirs.
     */
    void configure(QuotaSpec newSpec, double ownedShare, double nowMs) {
        spec = newSpec;
        share.configure(ownedShare, nowMs + timing.donationWithheldMs(spec));
    }

    /** Returns the definition in use. */
    QuotaSpec spec() {
        return spec;
    }

    // ---- capacity

    /** Returns the amount that is left of this proxy's share after donations. */
    double owned(double nowMs) {
        return nowMs < spendsFromMs ? 0 : Math.max(0, share.amountAt(nowMs) - donated(nowMs));
    }

    /** Returns the amount that is donated from this proxy's share. */
    double donated(double nowMs) {
        return donated.total(nowMs);
    }

    private double granted(double nowMs) {
        boolean decays = spec.whenIsolated() == QuotaSpec.IsolationPolicy.LAST;
        return grant.amountAt(nowMs, decays ? QuotaSpec.DECAY_GRANTS * timing.grantMs() : 0);
    }

    /** Returns the capacity that may be spent now: requests per second, or a whole number of concurrent requests. */
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

    /** Refills the bucket. Called frequently, so that few tokens are lost while no requests arrive. */
    void tick(double nowMs) {
        refill(nowMs);
    }

    // ---- spending

    /**
     * Requests the admission of a request, which counts as demand whether it is admitted or not.
     *
     * @return 0 if the request can be admitted by calling {@link #consume} now; otherwise the time in milliseconds
     *     after which a retry may succeed
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

    /** Records that an admitted request has ended. Has no effect on a rate quota. */
    public void release() {
        if (spec.concurrent() && inUse > 0) {
            inUse--;
        }
    }

    // ---- demand and donations

    /** Returns the capacity that this proxy could use. */
    double demand(double nowMs) {
        return spec.concurrent() ? Math.max(inUse, demand.concurrent(nowMs)) : demand.perSecond(nowMs);
    }

    /** Returns the capacity that this proxy could use beyond what it owns; 0 if it is too small to be requested. */
    double shortfall(double nowMs) {
        double shortfall = demand(nowMs) - owned(nowMs);
        double minimum = spec.concurrent() ? MIN_REQUESTED_CONCURRENT : MIN_REQUESTED_FRACTION * spec.amount();
        return shortfall > minimum ? Math.min(shortfall, spec.amount()) : 0;
    }

    /** Donates spare capacity to an allocator, and does not spend it until the donation expires; returns the amount. */
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
        refill(nowMs); // at the rate that was valid until now
        donated.add(allocator, spare, nowMs + timing.donationWithheldMs(spec));
        refill(nowMs);
        return spare;
    }

    /** Returns the amount that can be donated; requests in flight beyond the share are covered by grants. */
    private double spare(long allocator, double nowMs) {
        double donatedToOthers = donated.totalExcept(allocator, nowMs);
        double kept = Math.max(demand(nowMs), NEVER_DONATED_FRACTION * share.amountAt(nowMs));
        double spare = share.amountAt(nowMs) - donatedToOthers - kept;
        return spec.concurrent() ? Math.floor(spare + ROUNDING) : spare;
    }

    // ---- requests for capacity and grants

    /** Returns whether this proxy holds a grant that it could give back. */
    boolean holdsGrant(double nowMs) {
        return grant.isActive(nowMs);
    }

    /** Returns whether this proxy's grant is more than twice its shortfall; others may be waiting for the excess. */
    boolean holdsExcessGrant(double nowMs) {
        return holdsGrant(nowMs) && shortfall(nowMs) < grant.amount() / 2;
    }

    /** Returns whether the demand has grown notably since the last request. */
    boolean needsMore(double nowMs) {
        boolean isRecent = nowMs - requests.lastSentMs() <= timing.requestIntervalMs();
        return shortfall(nowMs) > URGENT_GROWTH * (isRecent ? requests.lastAmount() : 0);
    }

    /** Returns whether the reply to the last request is overdue. */
    boolean isRequestOverdue(double nowMs) {
        return nowMs - requests.lastSentMs() > REPLY_TIMEOUT_MS
                && lastReplyMs < requests.lastSentMs()
                && shortfall(nowMs) > 0;
    }

    /** Records that a request for this amount is sent now; a larger grant is reduced to this amount. */
    void recordRequest(double amount, long requestId, double nowMs) {
        requests.add(requestId, amount, nowMs);
        if (grant.amount() > amount) {
            setGrant(amount, grant.untilMs(), nowMs);
        }
    }

    /**
     * Handles an allocator's reply to a request.
     *
     * @param requestedMs when the request was sent; the duration of the grant is counted from then
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
        refill(nowMs); // at the rate that was valid until now
        grant.set(amount, untilMs);
        refill(nowMs);
    }

    /** Records that an allocator has replied, whatever amount it granted. */
    void recordReply(double nowMs) {
        lastReplyMs = nowMs;
    }

    // ---- status

    /**
     * Returns since when this proxy has been isolated: it needs more capacity, and no allocator has replied for the
     * duration of a grant. NaN if it is not isolated.
     */
    double isolatedSinceMs(double nowMs) {
        if (shortfall(nowMs) <= 0 || nowMs - lastReplyMs <= timing.grantMs()) {
            isolatedSinceMs = Double.NaN;
        } else if (Double.isNaN(isolatedSinceMs)) {
            isolatedSinceMs = nowMs;
        }
        return isolatedSinceMs;
    }

    /** Returns the status of the quota at this proxy. */
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
