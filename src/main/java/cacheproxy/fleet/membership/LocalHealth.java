package cacheproxy.fleet.membership;

/**
 * How far this process can trust its own observations (Lifeguard's local health multiplier): it worsens when answers
 * are missing, and lengthens all timeouts, so that a slow process accuses others less.
 */
final class LocalHealth {
    /** The worst score; at it timeouts are eight times as long. */
    static final int MAX_SCORE = 7;

    private int score;

    /** 0, healthy, to {@value #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** Whether it is at its worst. */
    boolean isWorst() {
        return score == MAX_SCORE;
    }

    /** Adds to the score, which stays within its range; a negative change improves the health. */
    void adjustScore(int change) {
        score = Math.max(0, Math.min(MAX_SCORE, score + change));
    }

    /** A timeout as it is to be used now. */
    double scale(double timeoutMs) {
        return timeoutMs * (score + 1);
    }
}
