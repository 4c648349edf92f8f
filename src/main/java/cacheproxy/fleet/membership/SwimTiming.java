package cacheproxy.fleet.membership;

/**
 * Figures of the detector, milliseconds.
 *
 * @param periodMs between two questions of one proxy
 * @param answerMs an answer is waited for so long before others are had ask
 * @param helpers who are had ask
 * @param leastSuspicionMs a suspect that says nothing is called dead after so long, where others suspect it as well
 * @param mostSuspicionMs and after so long where nobody else does
 */
public record SwimTiming(
        double periodMs, double ackTimeoutMs, int indirectProbes, double minSuspicionMs, double maxSuspicionMs) {
    public static final SwimTiming DEFAULT = new SwimTiming(500, 150, 3, 2000, 8000);

    public SwimTiming {
        if (!(ackTimeoutMs > 0 && ackTimeoutMs * 2 < periodMs)
                || indirectProbes < 0
                || !(minSuspicionMs > 0 && minSuspicionMs <= maxSuspicionMs)) {
            throw new IllegalArgumentException("period " + periodMs + ", answer " + ackTimeoutMs + ", helpers "
                    + indirectProbes + ", suspicion " + minSuspicionMs + " to " + maxSuspicionMs);
        }
    }
}
