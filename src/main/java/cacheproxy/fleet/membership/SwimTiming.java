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
        double periodMs, double answerMs, int helpers, double leastSuspicionMs, double mostSuspicionMs) {
    public static final SwimTiming USUAL = new SwimTiming(500, 150, 3, 2000, 8000);

    public SwimTiming {
        if (!(answerMs > 0 && answerMs * 2 < periodMs)
                || helpers < 0
                || !(leastSuspicionMs > 0 && leastSuspicionMs <= mostSuspicionMs)) {
            throw new IllegalArgumentException("period " + periodMs + ", answer " + answerMs + ", helpers " + helpers
                    + ", suspicion " + leastSuspicionMs + " to " + mostSuspicionMs);
        }
    }
}
