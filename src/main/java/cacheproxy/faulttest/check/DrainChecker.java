package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no proxy sends a new request to a cache server that has been draining for longer than the grace period.
 * For a proxy that could not reach discovery the period starts later, when it can be expected to have been notified.
 */
public final class DrainChecker implements Checker {
    /** How long requests may still be sent to a draining server. */
    static final long GRACE_PERIOD_US = 2_050_000;
    /** Limit on the time until a proxy is notified after it can reach discovery again. */
    static final long NOTIFICATION_TIME_US = 6_000_000;

    @Override
    public String name() {
        return "drains-kept";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations violations = new Violations();
        Map<String, Long> drainingSinceUs = new HashMap<>();
        Map<String, String> proxyByRequest = new HashMap<>();
        for (Event event : run.events()) {
            switch (event.type()) {
                case Event.REQUEST_SENT -> proxyByRequest.put(event.id(), event.endpoint());
                case Event.SERVER_DRAINING -> drainingSinceUs.put(event.endpoint(), event.timeUs());
                case Event.SERVER_UP, Event.SERVER_KILLED -> drainingSinceUs.remove(event.endpoint());
                case Event.COMMAND_ARRIVED -> {
                    Long sinceUs = drainingSinceUs.get(event.endpoint());
                    String proxy = proxyByRequest.get(event.id());
                    if (sinceUs != null && proxy != null) {
                        violations.countJudged();
                        checkArrival(run, event, proxy, sinceUs, violations);
                    }
                }
                default -> {}
            }
        }
        return violations;
    }

    private static void checkArrival(RunHistory run, Event arrival, String proxy, long sinceUs, Violations violations) {
        long reachableUs = run.discoveryReachableFromUs(proxy, sinceUs);
        long notificationUs = reachableUs > sinceUs ? NOTIFICATION_TIME_US : 0;
        if (arrival.earliestUs() > reachableUs + GRACE_PERIOD_US + notificationUs) {
            long afterMs = (arrival.timeUs() - sinceUs) / 1000;
            violations.add(
                    arrival,
                    proxy + " sent " + arrival.id() + " to " + arrival.endpoint() + " " + afterMs
                            + " ms after it was called draining");
        }
    }
}
