package cacheproxy.simulation;

import java.util.SplittableRandom;

/**
 * What the clients of a {@link FleetSimulation} ask for. Keys follow a power law, r<sup>-1.15</sup> of
 * {@value #KEY_COUNT}; writes are one in 40.
 */
final class FleetWorkload {
    static final long FIRST_KEY = 1000;
    static final int KEY_COUNT = 20_000;

    private static final double WRITE_FRACTION = 1 / 40.0;
    private static final double HOT_KEY_FRACTION = 0.25;
    /** The law's exponent is this and 1. */
    private static final double TAIL_EXPONENT = 0.15;
    /** The rank that the law begins at. */
    private static final double FIRST_RANK = 2.5;

    private final SplittableRandom random;
    private long hotKey;

    FleetWorkload(SplittableRandom random) {
        this.random = random;
    }

    /** Makes a key that of a quarter of all requests from now on; 0: none. */
    void setHotKey(long key) {
        hotKey = key;
    }

    /** Draws a request. */
    SimulatedRequest nextRequest() {
        long key = nextKey();
        return new SimulatedRequest(key, random.nextDouble() < WRITE_FRACTION, 0);
    }

    private long nextKey() {
        if (hotKey != 0 && random.nextDouble() < HOT_KEY_FRACTION) {
            return hotKey;
        }
        double uniform = random.nextDouble();
        double rank = Math.pow(
                (1 - uniform) * Math.pow(FIRST_RANK, -TAIL_EXPONENT) + uniform * Math.pow(KEY_COUNT, -TAIL_EXPONENT),
                -1 / TAIL_EXPONENT);
        return FIRST_KEY + (long) rank;
    }
}
