package cacheproxy.faulttest;

/**
 * Metrics of a run that are measured in addition to its history.
 *
 * @param startSeconds time from the start of the first proxy until all were ready
 * @param meanResidentMb mean resident memory of the proxies that run at the end of the load
 * @param maxResidentMb maximum resident memory of a proxy at the end of the load
 * @param datagrams datagrams between proxies that were forwarded during the load
 * @param datagramBytes total size of these datagrams in bytes
 * @param lostDatagrams datagrams that faults lost during the load
 * @param discoveryCalls calls to discovery during the load
 * @param waitingWatches watches that waited at discovery at the end of the load
 * @param healthChecks health checks of cache servers during the load
 * @param failedConnects requests for which no connection could be established
 * @param rejectedByConnectionLimit requests for which no connection was free
 * @param relayLagP99Ms 99th percentile of the lag of the event loops of relay and fakes; the larger of the two
 * @param relayLagMaxMs maximum of that lag
 * @param scheduleLagP99Ms 99th percentile of how much later than scheduled requests were sent
 * @param busyShare share of samples, 0 to 1, in which nearly all processors were busy
 * @param droppedEvents events that did not fit into the history
 * @param droppedDatagrams datagrams that the relay dropped without a fault
 */
public record RunMeasurements(
        double startSeconds,
        double meanResidentMb,
        double maxResidentMb,
        long datagrams,
        long datagramBytes,
        long lostDatagrams,
        int discoveryCalls,
        int waitingWatches,
        int healthChecks,
        int failedConnects,
        int rejectedByConnectionLimit,
        double relayLagP99Ms,
        double relayLagMaxMs,
        double scheduleLagP99Ms,
        double busyShare,
        long droppedEvents,
        long droppedDatagrams) {}
