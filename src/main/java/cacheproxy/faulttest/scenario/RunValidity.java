package cacheproxy.faulttest.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether the machine kept up, so that a run counts. A machine that was too slow gives no verdict rather than a wrong
 * one. All in milliseconds.
 *
 * @param relayP99 how late the relay's own ticks were
 * @param relayMax the latest of them
 * @param loadP99 how far behind its schedule requests were sent
 * @param childP99 how long proxies that no fault had befallen took for an empty call
 * @param busy share of half seconds in which nearly all processors were busy
 * @param dropped events that did not fit into the history
 * @param relayDropped datagrams that the rig itself lost
 */
public record RunValidity(
        double relayP99,
        double relayMax,
        double loadP99,
        double childP99,
        double busy,
        long dropped,
        long relayDropped) {
    public static final double RELAY_P99 = 50;
    public static final double RELAY_MAX = 1500;
    public static final double LOAD_P99 = 100;
    public static final double CHILD_P99 = 300;
    /**
     * Nearly all: above this, of all processors; and how much of a run may be so. A start of all loads and compiles for
     * a while.
     */
    public static final double BUSY_LOAD = 0.9;

    public static final double BUSY_SHARE = 0.1;

    /** Why the run does not count; empty if it does. */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        over(faults, "the relay was late by (p99)", relayP99, RELAY_P99);
        over(faults, "the relay was late by (max)", relayMax, RELAY_MAX);
        over(faults, "the load was behind its schedule by (p99)", loadP99, LOAD_P99);
        over(faults, "proxies without a fault took for an empty call (p99)", childP99, CHILD_P99);
        if (!(busy <= BUSY_SHARE)) {
            faults.add(String.format(
                    java.util.Locale.ROOT,
                    "all processors were busy for %.0f%% of the time, at most %.0f",
                    busy * 100,
                    BUSY_SHARE * 100));
        }
        if (dropped > 0) {
            faults.add("the history lacks " + dropped + " events");
        }
        if (relayDropped > 0) {
            faults.add("the relay dropped " + relayDropped + " datagrams that no fault lost");
        }
        return faults;
    }

    private static void over(List<String> faults, String what, double ms, double most) {
        if (!(ms <= most)) {
            faults.add(String.format(java.util.Locale.ROOT, "%s %.0f ms, at most %.0f", what, ms, most));
        }
    }
}
