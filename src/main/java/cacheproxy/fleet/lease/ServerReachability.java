package cacheproxy.fleet.lease;

/**
 * Whether a process reaches the cache servers that other processes reach. One that does not can do little under a lease
 * and should release its leases.
 *
 * <p>Where no process reaches any server, a change of holder would gain nothing, and all keep their leases. Therefore a
 * report of another process counts only if it is so much younger than this process's own last success that the reporter
 * would have noticed a common outage.
 */
public final class ServerReachability {
    private final double unreachableAfterMs;
    private final double reportValidMs;
    private double lastLocalSuccessMs;
    private double lastRemoteReportMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a detector that counts as having reached a server now.
     *
     * @param unreachableAfterMs how long without success means that no server is reachable, above 0
     * @param reportValidMs how long a report of another process counts, above 0
     * @throws IllegalArgumentException if a duration is not above 0
     */
    public ServerReachability(double nowMs, double unreachableAfterMs, double reportValidMs) {
        if (!(unreachableAfterMs > 0) || !(reportValidMs > 0)) {
            throw new IllegalArgumentException("expected durations above 0, but found unreachable after "
                    + unreachableAfterMs + " ms and reports valid for " + reportValidMs + " ms");
        }
        this.unreachableAfterMs = unreachableAfterMs;
        this.reportValidMs = reportValidMs;
        lastLocalSuccessMs = nowMs;
    }

    /** Some server is healthy as seen from here, or there is no server at all. */
    public void recordLocalSuccess(double nowMs) {
        lastLocalSuccessMs = nowMs;
    }

    /** Another process reports that it reaches a server. */
    public void recordRemoteReport(double nowMs) {
        lastRemoteReportMs = nowMs;
    }

    /** Whether this process may hold leases, as far as servers are concerned. */
    public boolean isEligible(double nowMs) {
        boolean othersReachServers = lastRemoteReportMs - lastLocalSuccessMs >= unreachableAfterMs
                && nowMs - lastRemoteReportMs < reportValidMs;
        return nowMs - lastLocalSuccessMs < unreachableAfterMs || !othersReachServers;
    }
}
