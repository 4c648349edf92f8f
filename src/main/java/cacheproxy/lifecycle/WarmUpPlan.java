package cacheproxy.lifecycle;

/**
 * How many requests a starting process sends to itself before it accepts clients. They load and compile code that the
 * first clients would otherwise wait for; each takes time in which the process does not serve.
 *
 * <p>In a small fleet each proxy gets hundreds of requests in its first second, and one that is not warmed up falls
 * behind for seconds. In a large fleet each proxy gets few, and a longer absence costs more than slow first requests.
 * While a predecessor still serves, no client waits for the new process.
 *
 * @param requests number of requests to be answered
 * @param concurrency number of these requests that are kept in flight
 * @param timeLimitMs time limit for all of them, in milliseconds; a process that takes longer continues without the
 *     rest. A new version counts as failed if it does not accept clients within 6 s, of which its start takes 1 s
 */
public record WarmUpPlan(int requests, int concurrency, double timeLimitMs) {
    /** Largest number of proxies that counts as a small fleet. */
    static final int MAX_SMALL_FLEET = 3;
    /** Requests in a small fleet, or while a predecessor is running. */
    static final int FULL_REQUESTS = 600;
    /** Requests in a large fleet. */
    static final int REDUCED_REQUESTS = 30;

    private static final int CONCURRENCY = 8;
    private static final double TIME_LIMIT_MS = 4000;

    /**
     * Returns the plan of a process that is starting.
     *
     * @param instances number of proxies that share the traffic
     * @param besidePredecessor whether a process that this one is to replace still serves
     */
    public static WarmUpPlan of(int instances, boolean besidePredecessor) {
        boolean full = besidePredecessor || instances <= MAX_SMALL_FLEET;
        return new WarmUpPlan(full ? FULL_REQUESTS : REDUCED_REQUESTS, CONCURRENCY, TIME_LIMIT_MS);
    }
}
