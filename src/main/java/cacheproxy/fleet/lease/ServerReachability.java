package cacheproxy.fleet.lease;

/**
 * Whether a process reaches the servers that others reach: one that does not, and so can do little under a duty, gives
 * its duties back. Where nobody reaches any, who holds a duty makes no difference, and all keep what they have: word
 * counts only if it was given so long after it reached one itself last that who lost them at the same time would have
 * known. Times in milliseconds.
 */
public final class ServerReachability {
    private final double outMs;
    private final double wordMs;
    private double lastHereMs;
    private double lastThereMs = Double.NEGATIVE_INFINITY;

    /**
     * @param outMs it has reached none for so long
     * @param wordMs another's word that it reaches some counts for so long
     */
    public ServerReachability(double now, double outMs, double wordMs) {
        if (!(outMs > 0) || !(wordMs > 0)) {
            throw new IllegalArgumentException("out " + outMs + ", word " + wordMs);
        }
        this.outMs = outMs;
        this.wordMs = wordMs;
        lastHereMs = now;
    }

    /** Some server is sound as seen from here, or there is none to be seen. */
    public void here(double now) {
        lastHereMs = now;
    }

    /** Another process says that it reaches some. */
    public void there(double now) {
        lastThereMs = now;
    }

    /** Whether it may hold duties. */
    public boolean able(double now) {
        boolean othersDo = lastThereMs - lastHereMs >= outMs && now - lastThereMs < wordMs;
        return now - lastHereMs < outMs || !othersDo;
    }
}
