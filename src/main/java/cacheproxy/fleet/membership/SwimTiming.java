package cacheproxy.fleet.membership;

/**
 * Times of the failure detector, in milliseconds, before {@link LocalHealth} scales them.
 *
 * @param periodMs between two direct pings of one member
 * @param ackTimeoutMs wait for an answer before other members are asked to ping; less than half a period
 * @param indirectProbes members that are asked to ping
 * @param minSuspicionMs time for refuting a suspicion that several members confirm
 * @param maxSuspicionMs time for refuting a suspicion that nobody else confirms
 */
public record SwimTiming(
        double periodMs, double ackTimeoutMs, int indirectProbes, double minSuspicionMs, double maxSuspicionMs) {
    /** The times that proxies use. */
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
