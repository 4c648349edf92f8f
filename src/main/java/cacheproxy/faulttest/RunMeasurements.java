package cacheproxy.faulttest;

/**
 * What is measured beside the history of a run.
 *
 * @param startSeconds from the first start until all proxies were ready
 * @param meanResidentMb resident memory of a proxy at the load's end, the mean of those that run
 * @param maxResidentMb the maximum
 * @param datagrams datagrams between proxies that were forwarded during the load
 * @param datagramBytes their bytes
 * @param lostDatagrams datagrams that faults lost during the load
 * @param discoveryCalls calls to discovery during the load
 * @param waitingWatches watches that waited at discovery at the load's end
 * @param healthChecks of cache servers during the load
 * @param failedConnects requests for which no connection could be established
 * @param rejectedByConnectionLimit requests for which no connection was free
 * @param relayLagP99Ms 99th percentile of the lag of the event loops of relay and fakes, the larger one
 * @param relayLagMaxMs its maximum
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
