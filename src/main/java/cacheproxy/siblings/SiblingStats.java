package cacheproxy.siblings;

/**
 * Measurements of one sibling: how long its replies take, how often it replies, how often it reports a hit, and how
 * many of its reported hits were true. Old observations decay, so that a change in either direction is noticed. Reads
 * no clock; confined to one thread.
 */
public final class SiblingStats {
    /** Number of observations after which the weight of an older one has halved. */
    private static final double HALF_LIFE = 64;

    private static final double DECAY = Math.pow(0.5, 1 / HALF_LIFE);
    /** A sibling that replies to a smaller share of queries is only probed. */
    private static final double MIN_REPLY_RATE = 0.2;
    /** A sibling with a smaller share of true hits is only probed. */
    private static final double MIN_HIT_ACCURACY = 0.5;
    /** Time between two queries to a sibling that is only probed. */
    static final double PROBE_INTERVAL_MS = 2000;

    /** Weights of the smoothed mean and deviation, and how many deviations above the mean count as a timeout. */
    private static final double MEAN_WEIGHT = 1.0 / 8;

    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final double TIMEOUT_DEVIATIONS = 4;

    private double queries = 1;
    private double replies = 1;
    /** Not 0 at first, so that a new sibling is queried. */
    private double hits = 0.5;

    private double fetches = 1;
    private double valuesReceived = 1;
    private double meanMs;
    private double deviationMs;
    private boolean isMeasured;
    private double nextProbeMs = Double.NEGATIVE_INFINITY;

    /** Counts a query sent to the sibling. */
    public void recordQuery(double nowMs) {
        queries = queries * DECAY + 1;
        replies *= DECAY;
        hits *= DECAY;
        nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    }

    /** Counts a reply, including a late one. Times are smoothed as RFC 6298 smooths round-trip times. */
    public void recordReply(double elapsedMs, boolean hit) {
        replies++;
        hits += hit ? 1 : 0;
        if (!isMeasured) {
            isMeasured = true;
            meanMs = elapsedMs;
            deviationMs = elapsedMs / 2;
            return;
        }
        deviationMs += (Math.abs(elapsedMs - meanMs) - deviationMs) * DEVIATION_WEIGHT;
        meanMs += (elapsedMs - meanMs) * MEAN_WEIGHT;
    }

    /** Counts a fetch from the sibling after it reported a hit. */
    public void recordFetch(boolean valueReceived) {
        fetches = fetches * DECAY + 1;
        valuesReceived = valuesReceived * DECAY + (valueReceived ? 1 : 0);
    }

    /** Returns the time after which a reply counts as lost; {@code defaultMs} while no reply has been measured. */
    public double replyTimeoutMs(double defaultMs) {
        return isMeasured ? meanMs + TIMEOUT_DEVIATIONS * deviationMs : defaultMs;
    }

    /** Returns the share of queries to which the sibling replies, 0 to 1. */
    public double replyRate() {
        return Math.min(1, replies / queries);
    }

    /** Returns the share of queries that end with a value from the sibling, 0 to 1. */
    public double valueRate() {
        return Math.min(1, hits / queries) * hitAccuracy();
    }

    /** Returns the share of reported hits whose value the sibling then returned, 0 to 1. */
    public double hitAccuracy() {
        return Math.min(1, valuesReceived / fetches);
    }

    /**
     * Returns whether the sibling may be queried now, either because it is reliable or as a probe of a silent or
     * inaccurate one.
     */
    public boolean isEligible(double nowMs) {
        boolean isReliable = replyRate() >= MIN_REPLY_RATE && hitAccuracy() >= MIN_HIT_ACCURACY;
        return isReliable || nowMs >= nextProbeMs;
    }
}
