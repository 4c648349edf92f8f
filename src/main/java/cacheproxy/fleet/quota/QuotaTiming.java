package cacheproxy.fleet.quota;

/**
 * The times on which the safety of shared limits rests; milliseconds, each process by its own monotonic clock, none of
 * which is off true time by more than {@link #drift} in either direction.
 *
 * <p>Who may spend counts short, who must not counts long: a grant is used for {@link #usedMs} from before it was asked
 * for, and stands at its dealer for {@link #outMs} from when it was sent; a loan is kept for {@link #keptMs} from when
 * it was sent, and counts at its dealer for {@link #lentMs} from before it was called for. So whatever the clocks do
 * within the bound and however late messages are, a grant ends before the loans that cover it.
 */
public class QuotaTiming {
    /** Asks, calls and answers go out so often in a grant's time, so that two in a row may be lost. */
    static final double BEATS = 3;
    /** A loan outlasts the grant that rests on it by so many times. */
    static final double LOAN = 2;

    private final double grantMs;
    private final double drift;

    /**
     * @param grantMs for how long a grant may be spent, 100 to 60,000
     * @param drift of a clock, as a share, 0 to 0.1
     */
    public QuotaTiming(double grantMs, double drift) {
        if (!(grantMs >= 100 && grantMs <= 60_000) || !(drift >= 0 && drift <= 0.1)) {
            throw new IllegalArgumentException("grant of " + grantMs + " ms, drift " + drift);
        }
        this.grantMs = grantMs;
        this.drift = drift;
    }

    public double grantMs() {
        return grantMs;
    }

    public double drift() {
        return drift;
    }

    /** Between two asks of one who wants, and two calls of who deals. */
    public double beatMs() {
        return grantMs / BEATS;
    }

    /** How long a grant may be spent, from before it was asked for. */
    public double usedMs() {
        return grantMs * (1 - drift);
    }

    /** How long a grant stands at its dealer, from when it was sent. */
    public double outMs(QuotaSpec l) {
        return (grantMs + l.holdMs()) * (1 + drift);
    }

    /** How long a loan is kept, from when it was sent. */
    public double keptMs(QuotaSpec l) {
        return (grantMs * LOAN + l.holdMs()) * (1 + drift);
    }

    /** How long a loan counts at the dealer, from before it was called for. */
    public double lentMs(QuotaSpec l) {
        return (grantMs * LOAN + l.holdMs()) * (1 - drift);
    }

    /** A process that has started spends nothing of its own for so long: an earlier life of it may have lent it. */
    public double silenceMs(QuotaSpec l) {
        return keptMs(l);
    }

    /** Who has gained the duty deals out nothing but loans for so long: whoever held it before may have. */
    public double takeoverMs(QuotaSpec l) {
        return outMs(l);
    }
}
