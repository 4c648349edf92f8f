package cacheproxy.fleet.membership;

/**
 * Timing of the failure detector, in milliseconds, before scaling by {@link LocalHealth}.
 *
 * @param periodMs the time between two direct pings that a member sends
 * @param ackTimeoutMs how long to wait for an answer before other members are asked to ping; less than half a period
 * @param indirectProbes the number of members that are asked to ping
 * @param minSuspicionMs the time for refuting a suspicion that several members confirm
 * @param maxSuspicionMs the time for refuting a suspicion that no other member confirms
 */
public record SwimTiming(
        double periodMs, double ackTimeoutMs, int indirectProbes, double minSuspicionMs, double maxSuspicionMs) {
    /** The timing that proxies use. */
    public static final SwimTiming DEFAULT = new SwimTiming(500, 150, 3, 2000, 8000);

    /** Checks the ranges; throws IllegalArgumentException naming the values. */
    public SwimTiming {
        if (!(ackTimeoutMs > 0 && ackTimeoutMs * 2 < periodMs)
                || indirectProbes < 0
                || !(minSuspicionMs > 0 && minSuspicionMs <= maxSuspicionMs)) {
            throw new IllegalArgumentException("period of " + periodMs + " ms, ack timeout of " + ackTimeoutMs + " ms, "
                    + indirectProbes + " indirect probes, suspicion of " + minSuspicionMs + " to " + maxSuspicionMs
                    + " ms; expected an ack timeout below half a period, no negative number of probes and an ascending"
                    + " range of suspicion times");
        }
    }
}
