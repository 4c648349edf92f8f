package cacheproxy.siblings;

/**
 * What one sibling has been worth: how long its answers take, how often it answers, says hit, and keeps its word. All
 * of it fades, so that one that has changed is found out either way. Pure; times in milliseconds.
 */
public final class SiblingStats {
    /** Halves in this many questions. */
    private static final double MEMORY = 64;

    private static final double GAIN = Math.pow(0.5, 1 / MEMORY);
    /** Under this share of answers a sibling is only tried. */
    private static final double LEAST_ANSWERS = 0.2;
    /** Under this share of hits that were true a sibling is only tried. */
    private static final double LEAST_TRUTH = 0.5;
    /** A sibling that is only tried gets a question this often. */
    static final double TRIAL_MS = 2000;

    private double asked = 1;
    private double answered = 1;
    /** A new one is given the benefit of the doubt, for some questions. */
    private double hits = 0.5;

    private double fetched = 1;
    private double kept = 1;
    private double timeMs;
    private double deviationMs;
    private boolean measured;
    private double nextTrialMs = Double.NEGATIVE_INFINITY;

    /** It was asked. */
    public void asked(double now) {
        asked = asked * GAIN + 1;
        answered *= GAIN;
        hits *= GAIN;
        nextTrialMs = now + TRIAL_MS;
    }

    /** It answered after so long, also where the answer came too late. Smoothed as RFC 6298 smooths round trips. */
    public void answered(double elapsedMs, boolean hit) {
        answered++;
        hits += hit ? 1 : 0;
        if (!measured) {
            measured = true;
            timeMs = elapsedMs;
            deviationMs = elapsedMs / 2;
            return;
        }
        deviationMs += (Math.abs(elapsedMs - timeMs) - deviationMs) / 4;
        timeMs += (elapsedMs - timeMs) / 8;
    }

    /** A hit of its was fetched. {@code kept}: the value came. */
    public void fetched(boolean wordKept) {
        fetched = fetched * GAIN + 1;
        kept = kept * GAIN + (wordKept ? 1 : 0);
    }

    /** How long an answer of its may take before it counts as lost; {@code unknownMs} while none has come. */
    public double patienceMs(double unknownMs) {
        return measured ? timeMs + 4 * deviationMs : unknownMs;
    }

    /** The share of questions that it answers, 0 to 1. */
    public double answers() {
        return Math.min(1, answered / asked);
    }

    /** The share of questions that end with its value, 0 to 1. */
    public double worth() {
        return Math.min(1, hits / asked) * truth();
    }

    /** The share of its hits that were true, 0 to 1. */
    public double truth() {
        return Math.min(1, kept / fetched);
    }

    /** Whether it is to be asked now: as a rule, or as a trial of one that is silent or lies. */
    public boolean mayAsk(double now) {
        return (answers() >= LEAST_ANSWERS && truth() >= LEAST_TRUTH) || now >= nextTrialMs;
    }
}
