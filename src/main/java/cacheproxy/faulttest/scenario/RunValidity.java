package cacheproxy.faulttest.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Whether the machine kept up, so that a run is valid. If the machine was too slow, there is no verdict rather than a
 * wrong one.
 *
 * @param relayLagP99Ms 99th percentile of the lag of the relay's event loop
 * @param relayLagMaxMs maximum of that lag
 * @param scheduleLagP99Ms 99th percentile of how much later than scheduled requests were sent
 * @param pingP99Ms 99th percentile of the latency of pings to proxies without a fault
 * @param busyShare share of samples, 0 to 1, in which nearly all processors were busy
 * @param droppedEvents events that did not fit into the history
 * @param droppedDatagrams datagrams that the relay dropped without a fault
 */
public record RunValidity(
        double relayLagP99Ms,
        double relayLagMaxMs,
        double scheduleLagP99Ms,
        double pingP99Ms,
        double busyShare,
        long droppedEvents,
        long droppedDatagrams) {
    /** Limit on {@link #relayLagP99Ms}. */
    public static final double MAX_RELAY_LAG_P99_MS = 50;
    /** Limit on {@link #relayLagMaxMs}. */
    public static final double MAX_RELAY_LAG_MS = 1500;
    /** Limit on {@link #scheduleLagP99Ms}. */
    public static final double MAX_SCHEDULE_LAG_P99_MS = 100;
    /** Limit on {@link #pingP99Ms}. */
    public static final double MAX_PING_P99_MS = 300;
    /** CPU load of the machine, 0 to 1, above which nearly all processors are busy. */
    public static final double BUSY_CPU_LOAD = 0.9;
    /** Limit on {@link #busyShare}; it is above 0, as processes that start together need the processors for a while. */
    public static final double MAX_BUSY_SHARE = 0.1;

    /** The reasons why the run is not valid; empty if it is. A value that is NaN is a problem as well. */
    public List<String> problems() {
        List<String> problems = new ArrayList<>();
        addIfOver(problems, "the relay was late by (p99)", relayLagP99Ms, MAX_RELAY_LAG_P99_MS);
        addIfOver(problems, "the relay was late by (max)", relayLagMaxMs, MAX_RELAY_LAG_MS);
        addIfOver(problems, "the load was behind its schedule by (p99)", scheduleLagP99Ms, MAX_SCHEDULE_LAG_P99_MS);
        addIfOver(problems, "proxies without a fault took for an empty call (p99)", pingP99Ms, MAX_PING_P99_MS);
        if (!(busyShare <= MAX_BUSY_SHARE)) {
            problems.add(String.format(
                    Locale.ROOT,
                    "all processors were busy for %.0f%% of the time, at most %.0f",
                    busyShare * 100,
                    MAX_BUSY_SHARE * 100));
        }
        if (droppedEvents > 0) {
            problems.add("the history lacks " + droppedEvents + " events");
        }
        if (droppedDatagrams > 0) {
            problems.add("the relay dropped " + droppedDatagrams + " datagrams that no fault lost");
        }
        return problems;
    }

    private static void addIfOver(List<String> problems, String description, double ms, double maxMs) {
        if (!(ms <= maxMs)) {
            problems.add(String.format(Locale.ROOT, "%s %.0f ms, at most %.0f", description, ms, maxMs));
        }
    }
}
