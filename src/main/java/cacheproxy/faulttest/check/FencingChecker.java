package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.Map;

/** No act under a duty is taken once one of a later epoch was: whatever stood still in the midst of it does no harm. */
public final class FencingChecker implements Checker {
    @Override
    public String name() {
        return "acts-in-order";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        Map<String, Event> last = new HashMap<>();
        for (Event e : run.events()) {
            if (!e.what().equals(Event.ACT) || !e.detail().equals("accepted")) {
                continue;
            }
            f.looked();
            Event before = last.get(e.id());
            if (before != null && before.value() > e.value()) {
                f.broken(
                        e,
                        "an act of " + e.who() + " under " + e.id() + ", epoch " + (long) e.value()
                                + ", was taken after one of " + before.who() + " under epoch " + (long) before.value());
            } else {
                last.put(e.id(), e);
            }
        }
        return f;
    }

    /** Acts of older epochs that were refused where they were received. */
    public static long refused(RunHistory run) {
        return run.events().stream()
                .filter(e -> e.what().equals(Event.ACT) && e.detail().equals("refused"))
                .count();
    }
}
