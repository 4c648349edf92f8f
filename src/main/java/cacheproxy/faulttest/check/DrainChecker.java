package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.Map;

/**
 * Nothing new goes to a node that has been called draining for the grace. Whoever could not hear of it counts as told
 * so much after it could again.
 */
public final class DrainChecker implements Checker {
    static final long GRACE_US = 2_050_000;
    /** What discovery has to tell counts as told by then, whether or not it arrived. */
    static final long TOLD_US = 6_000_000;

    @Override
    public String name() {
        return "drains-kept";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        Map<String, Long> draining = new HashMap<>();
        Map<String, String> askedAt = new HashMap<>();
        for (Event e : run.events()) {
            switch (e.what()) {
                case Event.ASKED -> askedAt.put(e.id(), e.who());
                case Event.DRAINING -> draining.put(e.who(), e.us());
                case Event.UP, Event.DIED -> draining.remove(e.who());
                case Event.ARRIVED -> {
                    Long since = draining.get(e.who());
                    String proxy = askedAt.get(e.id());
                    if (since != null && proxy != null) {
                        f.looked();
                        long heard = run.informedFrom(proxy, since);
                        if (e.earliest() > heard + GRACE_US + (heard > since ? TOLD_US : 0)) {
                            f.broken(
                                    e,
                                    proxy + " sent " + e.id() + " to " + e.who() + " " + (e.us() - since) / 1000
                                            + " ms after it was called draining");
                        }
                    }
                }
                default -> {}
            }
        }
        return f;
    }
}
