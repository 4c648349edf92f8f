package cacheproxy.fleet.quota;

/**
 * The durations on which the safety of quotas rests, in milliseconds. Each process measures by its own monotonic clock,
 * whose rate differs from true time by at most {@link #maxDrift} either way.
 *
 * <p>Who may spend counts from earlier and shorter, who must not counts from later and longer: a grant is spent for
 * {@link #spendableMs} from when it was requested and is outstanding at its allocator for {@link #outstandingMs} from
 * when it was sent; a donation is kept for {@link #donationWithheldMs} from when it was sent and counts at its
 * allocator for {@link #donationUsableMs} from when it was solicited. So a grant ends before the donations that cover
 * it, however late messages arrive.
 */
public class QuotaTiming {
    /** Requests and solicitations are sent so often in the duration of a grant: two in a row may be lost. */
    static final double REQUESTS_PER_GRANT = 3;
    /** A donation lasts for so many durations of a grant. */
    static final double DONATION_GRANTS = 2;

    private static final double MIN_GRANT_MS = 100;
    private static final double MAX_GRANT_MS = 60_000;
    private static final double MAX_CONFIGURED_DRIFT = 0.1;

    private final double grantMs;
    private final double maxDrift;

    /**
     * Creates the durations of a fleet.
     *
     * @param grantMs for how long a grant may be spent, 100 to 60,000
     * @param maxDrift how far a clock's rate may be off, as a fraction, 0 to 0.1
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public QuotaTiming(double grantMs, double maxDrift) {
        boolean isGrantValid = grantMs >= MIN_GRANT_MS && grantMs <= MAX_GRANT_MS;
        if (!isGrantValid || !(maxDrift >= 0 && maxDrift <= MAX_CONFIGURED_DRIFT)) {
            throw new IllegalArgumentException("grant of " + grantMs + " ms, drift " + maxDrift);
        }
        this.grantMs = grantMs;
        this.maxDrift = maxDrift;
    }

    /** The nominal duration of a grant. */
    public double grantMs() {
        return grantMs;
    }

    /** How far a clock's rate may be off, as a fraction. */
    public double maxDrift() {
        return maxDrift;
    }

    /** The interval of a proxy's requests, and of an allocator's solicitations. */
    public double requestIntervalMs() {
        return grantMs / REQUESTS_PER_GRANT;
    }

    /** How long a grant may be spent, from when it was requested. */
    public double spendableMs() {
        return grantMs * (1 - maxDrift);
    }

    /** How long a grant is outstanding at its allocator, from when it was sent. */
    public double outstandingMs(QuotaSpec spec) {
        return (grantMs + spec.maxHoldMs()) * (1 + maxDrift);
    }

    /** How long a donor keeps its donation, from when it was sent. */
    public double donationWithheldMs(QuotaSpec spec) {
        return (grantMs * DONATION_GRANTS + spec.maxHoldMs()) * (1 + maxDrift);
    }

    /** How long a donation counts at the allocator, from when it was solicited. */
    public double donationUsableMs(QuotaSpec spec) {
        return (grantMs * DONATION_GRANTS + spec.maxHoldMs()) * (1 - maxDrift);
    }

    /** How long a process spends nothing of its share after its start: an earlier process may have donated it. */
    public double startupSilenceMs(QuotaSpec spec) {
        return donationWithheldMs(spec);
    }

    /** How long a new lease holder grants nothing but donations: grants of the former holder may be outstanding. */
    public double takeoverWaitMs(QuotaSpec spec) {
        return outstandingMs(spec);
    }
}
