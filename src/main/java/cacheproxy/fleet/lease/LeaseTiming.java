package cacheproxy.fleet.lease;

/**
 * The figures on which the safety of leases rests. Each process counts by its own monotonic clock, and no two of them
 * run apart by more than {@link #drift} in either direction from true time. Times in milliseconds.
 *
 * <p>A holder counts its lease from before it asked, and shorter by the drift; a voter counts from when it heard, and
 * longer by the drift. So in true time the holder's ends first, whatever the two clocks do within the bound and however
 * late the messages come.
 */
public class LeaseTiming {
    /**
     * Clocks of machines of one kind drift by parts in ten thousand; this leaves room for ones that are being slewed.
     */
    public static final double DRIFT = 0.01;

    private final double longestMs;
    private final double drift;

    /**
     * @param longestMs the longest lease that any process of the fleet may ask for, the same at all of them
     * @param drift how far a clock may be off, as a share, 0 to 0.1
     */
    public LeaseTiming(double longestMs, double drift) {
        if (!(longestMs > 0) || !(drift >= 0 && drift <= 0.1)) {
            throw new IllegalArgumentException("longest lease " + longestMs + ", drift " + drift);
        }
        this.longestMs = longestMs;
        this.drift = drift;
    }

    public double longestMs() {
        return longestMs;
    }

    public double drift() {
        return drift;
    }

    /**
     * A voter that has started says nothing for so long: what it granted in an earlier life, and forgot, is over by
     * then.
     */
    public double silenceMs() {
        return longestMs * (1 + drift);
    }

    /** How long the holder may act, from before it asked. */
    public double holderMs(double leaseMs) {
        return leaseMs * (1 - drift);
    }

    /** How long the voter gives its word to nobody else, from when it heard. */
    public double voterMs(double leaseMs) {
        return leaseMs * (1 + drift);
    }

    /**
     * The epoch of a new grant: above all that the voters told of. The wall clock is only a floor, for voters that have
     * all forgotten; where it is behind, what the voters remember counts.
     */
    public long epoch(long seen, long wallMs) {
        return Math.max(seen + 1, wallMs);
    }

    /** Whether an act that takes so long may begin: asked right before it, never in advance. */
    public boolean mayAct(double now, double untilMs, double actMs) {
        return now + actMs < untilMs;
    }
}
