package cacheproxy.faulttest.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What all proxies together send to a node that has come back cold, in any span of the fall time, against what it could
 * do when the span began.
 */
public final class SlowStartChecker implements Checker {
    static final double START = 0.3;
    static final double WARM_UP_MS = 9000;
    static final double TIP = 3;
    static final double FALL_MS = 1500;

    private static final class Cold {
        final double bornMs;
        final ArrayDeque<Double> arrivals = new ArrayDeque<>();
        boolean told;

        Cold(double bornMs) {
            this.bornMs = bornMs;
        }
    }

    private double worst;

    @Override
    public String name() {
        return "cold-sum";
    }

    /** The most of all nodes in the run that was checked last, as a multiple of what the node could do. */
    public double worst() {
        return worst;
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        worst = 0;
        Map<String, Cold> cold = new HashMap<>();
        for (Event e : run.events()) {
            if (e.what().equals(Event.BORN)) {
                cold.put(e.who(), new Cold(e.ms()));
            } else if (e.what().equals(Event.DIED)) {
                cold.remove(e.who());
            } else if (e.what().equals(Event.ARRIVED) && cold.containsKey(e.who())) {
                Cold c = cold.get(e.who());
                if (e.ms() - c.bornMs > WARM_UP_MS) {
                    cold.remove(e.who());
                    continue;
                }
                f.looked();
                c.arrivals.add(e.ms());
                while (c.arrivals.peek() < e.ms() - FALL_MS) {
                    c.arrivals.poll();
                }
                double from = Math.max(0, c.arrivals.peek() - c.bornMs);
                double can =
                        run.scenario().nodePerSecond() * (START + (1 - START) * from / WARM_UP_MS) * FALL_MS / 1000;
                double times = c.arrivals.size() / can;
                worst = Math.max(worst, times);
                if (times > TIP && !c.told) {
                    c.told = true;
                    f.broken(
                            e,
                            e.who() + " was sent " + c.arrivals.size() + " commands in " + (int) FALL_MS + " ms, "
                                    + String.format(java.util.Locale.ROOT, "%.2f", times)
                                    + " times what it can do when so cold");
                }
            }
        }
        return f;
    }
}
