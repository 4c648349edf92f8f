package cacheproxy.policy;

/**
 * The number of attempts that this proxy may have at a server in its slow start within
 * {@link PolicySettings#collapseAfterMs}.
 *
 * <p>A server collapses if all proxies together send it more than N + 2 sqrt(N) + 2 requests of average work in that
 * time, where N is the multiple of its present capacity. Proxies do not talk about that, and none knows the capacity.
 * Each uses its share of what warm servers answer: with a proxy's estimate a, the present fraction f of the capacity,
 * the multiple M, the time W and P proxies,
 *
 * <pre>  n = M f a W,  budget = 2/3 n + (sqrt(P n) + 1) / P.</pre>
 *
 * <p>The estimates of all proxies add up to at most the capacity of an average warm server, so the sum of n is at most
 * N, and the sum of the budgets at most 2/3 N + sqrt(N) + 1. The rest is for servers that are slower than the average
 * of their kind, for proxies that run twice during an upgrade and for estimates that lag behind a shift of traffic. A
 * budget that is not a whole number is rounded at random, so that the sum remains the same: of many proxies with little
 * traffic each, only some may send anything to the server.
 */
final class LearnedSlowStartBudget {
    private static final double USED_PART = 2.0 / 3;

    private final PolicySettings settings;
    private final ThroughputEstimate throughput;

    LearnedSlowStartBudget(PolicySettings settings, ThroughputEstimate throughput) {
        this.settings = settings;
        this.throughput = throughput;
    }

    /** Returns whether the settings bound what servers in their slow start may be sent. */
    boolean isBounded() {
        return settings.collapseLoadMultiple() > 0 && settings.collapseAfterMs() > 0;
    }

    /**
     * Returns the budget of a server.
     *
     * @param capacityFraction the fraction of its capacity that the server has, above 0 up to 1
     */
    double requests(double nowMs, ServerState server, double capacityFraction) {
        double warmRequests = throughput.warmPerMs(nowMs, server) * settings.collapseAfterMs();
        double ownRequests = settings.collapseLoadMultiple() * capacityFraction * warmRequests;
        return requests(ownRequests, settings.instanceCount());
    }

    /**
     * Returns a budget.
     *
     * @param ownRequests n, this proxy's part of what the rule allows all proxies
     * @param proxyCount number of proxies
     */
    static double requests(double ownRequests, int proxyCount) {
        int proxies = Math.max(1, proxyCount);
        return USED_PART * ownRequests + (Math.sqrt(proxies * ownRequests) + 1) / proxies;
    }
}
