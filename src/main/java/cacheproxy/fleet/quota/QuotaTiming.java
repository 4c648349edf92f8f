package cacheproxy.fleet.quota;

/**
 * The durations on which the safety of quotas rests, in milliseconds. Each process measures by its own monotonic clock,
 * whose rate differs from true time by at most {@link #maxDrift} either way.
 *
 * <p>A process that may spend capacity counts a shorter duration from an earlier time; a process that must not spend it
 * counts a longer duration from a later time. A grant may be spent for {@link #spendableMs} from when it was requested,
 * and is outstanding at its allocator for {@link #outstandingMs} from when it was sent. A donation is withheld by its
 * donor for {@link #donationWithheldMs} from when it was sent, and may be used by its allocator for
 * {@link #donationUsableMs} from when it was solicited. So a grant ends before the donations that cover it, however
 * late messages arrive.
 */
public class QuotaTiming {
    /** Requests or solicitations per duration of a grant, so that two consecutive ones can be lost. */
    static final double REQUESTS_PER_GRANT = 3;
    /** The duration of a donation in durations of a grant. */
    static final double DONATION_GRANTS = 2;

    private static final double MIN_GRANT_MS = 100;
    private static final double MAX_GRANT_MS = 60_000;
    private static final double MAX_CONFIGURED_DRIFT = 0.1;

    private final double grantMs;
    private final double maxDrift;

    /**
     * Creates the timing of a fleet.
     *
     * @param grantMs how long a grant may be spent, 100 to 60,000
     * @param maxDrift how far a clock's rate may be off, as a fraction, 0 to 0.1
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public QuotaTiming(double grantMs, double maxDrift) {
        boolean isGrantValid = grantMs >= MIN_GRANT_MS && grantMs <= MAX_GRANT_MS;
        if (!isGrantValid || !(maxDrift >= 0 && maxDrift <= MAX_CONFIGURED_DRIFT)) {
            throw new IllegalArgumentException(
                    "expected a grant duration of 100 to 60,000 ms and a drift of 0 to 0.1, but found " + grantMs
                            + " ms and " + maxDrift);
        }
        this.grantMs = grantMs;
        this.maxDrift = maxDrift;
    }

    /** Returns the nominal duration of a grant. */
    public double grantMs() {
        return grantMs;
    }

    /** How far a clock's rate may be off, as a fraction. */
    public double maxDrift() {
        return maxDrift;
    }

    /** Returns the interval of a proxy's requests, and of an allocator's solicitations. */
    public double requestIntervalMs() {
        return grantMs / REQUESTS_PER_GRANT;
    }

    /** Returns how long a grant may be spent, from when it was requested. */
    public double spendableMs() {
        return grantMs * (1 - maxDrift);
    }

    /** Returns how long a grant is outstanding at its allocator, from when it was sent. */
    public double outstandingMs(QuotaSpec spec) {
        return (grantMs + spec.maxHoldMs()) * (1 + maxDrift);
    }

    /** Returns how long a donor does not spend a donation, from when it was sent. */
    public double donationWithheldMs(QuotaSpec spec) {
        return (grantMs * DONATION_GRANTS + spec.maxHoldMs()) * (1 + maxDrift);
    }

    /** Returns how long an allocator may use a donation, from when it was solicited. */
    public double donationUsableMs(QuotaSpec spec) {
        return (grantMs * DONATION_GRANTS + spec.maxHoldMs()) * (1 - maxDrift);
    }

    /**
     * Returns how long a process spends nothing of its share after its start, because an earlier process may have
     * donated it.
     */
    public double startupSilenceMs(QuotaSpec spec) {
        return donationWithheldMs(spec);
    }

    /**
     * Returns how long a new lease holder grants only donations, because grants of the former holder may be
     * outstanding.
     */
    public double takeoverWaitMs(QuotaSpec spec) {
        return outstandingMs(spec);
    }
}
