package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * No write takes effect twice, whatever befalls; and one that was answered as served has taken effect. Nothing is
 * excused.
 */
public final class AtMostOnceChecker implements Checker {
    @Override
    public String name() {
        return "no-effect-twice";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        Map<String, Integer> effects = new HashMap<>();
        Set<String> writes = new HashSet<>();
        for (Event e : run.events()) {
            if (e.what().equals(Event.EFFECT)) {
                if (effects.merge(e.id(), 1, Integer::sum) == 2) {
                    f.broken(e, "write " + e.id() + " took effect again");
                }
            } else if (e.what().equals(Event.ASKED) && !e.detail().equals("read")) {
                f.looked();
                writes.add(e.id());
            }
        }
        for (Event e : run.events()) {
            if (e.what().equals(Event.ANSWERED)
                    && e.detail().equals("served")
                    && writes.contains(e.id())
                    && !effects.containsKey(e.id())) {
                f.broken(e, "write " + e.id() + " was answered as done and had no effect");
            }
        }
        return f;
    }
}
