package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no store accepts a leader action with the fencing token of an older epoch after one of a newer epoch,
 * regardless of how long the sender was paused in between.
 */
public final class FencingChecker implements Checker {
    @Override
    public String name() {
        return "acts-in-order";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations violations = new Violations();
        Map<String, Event> newestByLease = new HashMap<>();
        for (Event event : run.events()) {
            if (!event.is(Event.LEADER_ACTION, Event.ACCEPTED)) {
                continue;
            }
            violations.countJudged();
            Event newest = newestByLease.get(event.id());
            if (newest != null && newest.value() > event.value()) {
                violations.add(
                        event,
                        "an act of " + event.endpoint() + " under " + event.id() + ", epoch " + (long) event.value()
                                + ", was taken after one of " + newest.endpoint() + " under epoch "
                                + (long) newest.value());
            } else {
                newestByLease.put(event.id(), event);
            }
        }
        return violations;
    }
}
