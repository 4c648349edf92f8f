package cacheproxy.fleet.lease;

/**
 * The durations on which the safety of leases rests, in milliseconds.
 *
 * <p>Each process measures by its own monotonic clock, whose rate differs from true time by at most {@link #maxDrift}
 * either way. A holder counts its lease from when it sent the claim, shortened by the drift; a voter counts its grant
 * from when it received the claim, extended by the drift. So in true time the holder's lease ends before the grants,
 * however late messages arrive.
 */
public class LeaseTiming {
    /**
     * Clocks of similar machines drift by some parts in 10,000; this bound also covers clocks that are being slewed.
     */
    public static final double MAX_CLOCK_DRIFT = 0.01;

    private static final double MAX_CONFIGURED_DRIFT = 0.1;

    private final double maxLeaseMs;
    private final double maxDrift;

    /**
     * Creates the timing of a fleet.
     *
     * @param maxLeaseMs the longest lease that any process may claim, the same at all processes; above 0
     * @param maxDrift how far a clock's rate may be off, as a fraction, 0 to 0.1
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public LeaseTiming(double maxLeaseMs, double maxDrift) {
        if (!(maxLeaseMs > 0) || !(maxDrift >= 0 && maxDrift <= MAX_CONFIGURED_DRIFT)) {
            throw new IllegalArgumentException("longest lease " + maxLeaseMs + ", drift " + maxDrift);
        }
        this.maxLeaseMs = maxLeaseMs;
        this.maxDrift = maxDrift;
    }

    /** The longest lease that may be claimed, in milliseconds. */
    public double maxLeaseMs() {
        return maxLeaseMs;
    }

    /** How far a clock's rate may be off, as a fraction. */
    public double maxDrift() {
        return maxDrift;
    }

    /**
     * Returns how long a voter is silent after its start, so that grants of an earlier process expire in the meantime.
     */
    public double startupSilenceMs() {
        return maxLeaseMs * (1 + maxDrift);
    }

    /** Returns how long the holder may act, from when it sent the claim. */
    public double holderLeaseMs(double leaseMs) {
        return leaseMs * (1 - maxDrift);
    }

    /** Returns how long a voter grants the lease to no other peer, from when it received the claim. */
    public double voterLeaseMs(double leaseMs) {
        return leaseMs * (1 + maxDrift);
    }

    /**
     * Returns the epoch of a new claim, which is higher than all that voters have reported.
     *
     * @param highestEpoch the highest epoch that the voters or this process know
     * @param wallMs a lower bound, needed if all voters have restarted; has no effect while it is not above the highest
     *     epoch
     */
    public long nextEpoch(long highestEpoch, long wallMs) {
        return Math.max(highestEpoch + 1, wallMs);
    }

    /** Returns whether an action of this duration that begins now ends before the lease does. */
    public boolean permitsAction(double nowMs, double untilMs, double actionMs) {
        return nowMs + actionMs < untilMs;
    }
}
