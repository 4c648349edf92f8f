package cacheproxy.fleet.quota;

/**
 * The last requests for capacity of one quota, and the amount of each. A proxy that has later requested less gives up
 * the rest of an earlier grant, so that its allocator can grant it to others.
 */
final class RequestHistory {
    /** The result of {@link #smallestAmountSince} for a request that is no longer known. */
    static final double UNKNOWN = -1;

    private static final int MAX_REQUESTS = 16;

    private final long[] requestIds = new long[MAX_REQUESTS];
    private final double[] amounts = new double[MAX_REQUESTS];
    private int count;
    private double lastSentMs = Double.NEGATIVE_INFINITY;

    /** Adds a request. */
    void add(long requestId, double amount, double nowMs) {
        lastSentMs = nowMs;
        requestIds[count % MAX_REQUESTS] = requestId;
        amounts[count % MAX_REQUESTS] = amount;
        count++;
    }

    /** Returns when the last request was sent; negative infinity if there was none. */
    double lastSentMs() {
        return lastSentMs;
    }

    /** Returns the amount of the last request; 0 if there was none. */
    double lastAmount() {
        return count == 0 ? 0 : amounts[(count - 1) % MAX_REQUESTS];
    }

    /**
     * Returns the smallest amount of this request and of all later ones; {@link #UNKNOWN} if the request is not known.
     */
    double smallestAmountSince(long requestId) {
        double smallest = UNKNOWN;
        for (int i = Math.max(0, count - MAX_REQUESTS); i < count; i++) {
            double amount = amounts[i % MAX_REQUESTS];
            if (requestIds[i % MAX_REQUESTS] == requestId) {
                smallest = amount;
            } else if (smallest >= 0) {
                smallest = Math.min(smallest, amount);
            }
        }
        return smallest;
    }
}
