package cacheproxy.fleet.lease;

/**
 * Decides whether a process reaches the cache servers that other processes reach. A process that does not can do little
 * under a lease and should release its leases.
 *
 * <p>If no process reaches any server, a change of holder would gain nothing, and all processes keep their leases.
 * Therefore a report from another process counts only if it is later than this process's last success by so much that
 * the reporting process would have noticed a common outage.
 */
public final class ServerReachability {
    private final double unreachableAfterMs;
    private final double reportValidMs;
    private double lastLocalSuccessMs;
    private double lastRemoteReportMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a detector that counts {@code nowMs} as the time of the last success.
     *
     * @param unreachableAfterMs the time without a success after which servers count as unreachable, above 0
     * @param reportValidMs how long a report from another process is valid, above 0
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

    /** Records that this process reaches a healthy server, or that there is no server at all. */
    public void recordLocalSuccess(double nowMs) {
        lastLocalSuccessMs = nowMs;
    }

    /** Records a report from another process that it reaches a server. */
    public void recordRemoteReport(double nowMs) {
        lastRemoteReportMs = nowMs;
    }

    /** Returns whether the reachability of servers allows this process to hold leases. */
    public boolean isEligible(double nowMs) {
        boolean othersReachServers = lastRemoteReportMs - lastLocalSuccessMs >= unreachableAfterMs
                && nowMs - lastRemoteReportMs < reportValidMs;
        return nowMs - lastLocalSuccessMs < unreachableAfterMs || !othersReachServers;
    }
}
