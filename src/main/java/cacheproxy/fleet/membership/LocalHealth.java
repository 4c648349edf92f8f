package cacheproxy.fleet.membership;

/**
 * How far this process can trust its own observations (Lifeguard's local health multiplier): the score rises when
 * answers are missing, and lengthens all timeouts, so that a slow process suspects others less often.
 */
final class LocalHealth {
    /** The worst score, at which timeouts are eight times as long. */
    static final int MAX_SCORE = 7;

    private int score;

    /** Returns the score: 0 (healthy) to {@value #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** Returns whether the score is the worst one. */
    boolean isWorst() {
        return score == MAX_SCORE;
    }

    /** Adds to the score, which stays within its range; a negative change improves the health. */
    void adjustScore(int change) {
        score = Math.max(0, Math.min(MAX_SCORE, score + change));
    }

    /** Returns a timeout scaled by the present score. */
    double scale(double timeoutMs) {
        return timeoutMs * (score + 1);
    }
}
