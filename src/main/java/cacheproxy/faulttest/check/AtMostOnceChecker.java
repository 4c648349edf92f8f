package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that no write takes effect twice, and that a write whose response reports success has taken effect. No fault
 * excuses a violation.
 */
public final class AtMostOnceChecker implements Checker {
    @Override
    public String name() {
        return "no-effect-twice";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations violations = new Violations();
        Map<String, Integer> appliedById = new HashMap<>();
        Set<String> writes = new HashSet<>();
        for (Event event : run.events()) {
            if (event.is(Event.WRITE_APPLIED)) {
                if (appliedById.merge(event.id(), 1, Integer::sum) == 2) {
                    violations.add(event, "write " + event.id() + " took effect again");
                }
            } else if (event.is(Event.REQUEST_SENT) && !event.detail().equals(Event.READ)) {
                violations.countJudged();
                writes.add(event.id());
            }
        }
        for (Event event : run.events()) {
            if (event.is(Event.RESPONSE_RECEIVED, Event.SERVED)
                    && writes.contains(event.id())
                    && !appliedById.containsKey(event.id())) {
                violations.add(event, "write " + event.id() + " was answered as done and had no effect");
            }
        }
        return violations;
    }
}
