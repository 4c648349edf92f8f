package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Fault;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Of each duty there is one holder at a time, in epochs that grow. Each yes of a proxy was true at some moment between
 * question and answer. So none that was asked for after a yes of a later epoch had come may be of an earlier one, and
 * no two proxies may say yes under one epoch.
 */
public final class MutualExclusionChecker implements Checker {
    /** What comes later than this after a fault is not laid to it. */
    private static final double MOST_TAKEOVER_MS = 8000;

    @Override
    public String name() {
        return "one-holder";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        Map<String, TreeMap<Long, Event>> latest = new HashMap<>();
        Map<String, Map<Double, String>> holders = new HashMap<>();
        for (Event e : run.events()) {
            if (!e.what().equals(Event.DUTY) || !e.detail().equals("yes")) {
                continue;
            }
            f.looked();
            String other = holders.computeIfAbsent(e.id(), k -> new HashMap<>()).putIfAbsent(e.value(), e.who());
            if (other != null && !other.equals(e.who())) {
                f.broken(e, other + " and " + e.who() + " hold " + e.id() + " under one epoch, " + (long) e.value());
            }
            TreeMap<Long, Event> before = latest.computeIfAbsent(e.id(), k -> new TreeMap<>());
            Map.Entry<Long, Event> known = before.lowerEntry(e.earliest());
            if (known != null && known.getValue().value() > e.value()) {
                f.broken(
                        e,
                        e.who() + " holds " + e.id() + " under epoch " + (long) e.value() + " after "
                                + known.getValue().who() + " held it under "
                                + (long) known.getValue().value());
            }
            Map.Entry<Long, Event> last = before.lastEntry();
            if (last == null || last.getValue().value() < e.value()) {
                before.put(e.us(), e);
            }
        }
        return f;
    }

    /** Spans in which nobody said yes, longer than the least, milliseconds: of one duty, in the order of time. */
    public static List<double[]> gaps(RunHistory run, String duty, double leastMs, double fromMs, double toMs) {
        List<double[]> gaps = new ArrayList<>();
        double last = fromMs;
        for (Event e : run.events()) {
            if (e.what().equals(Event.DUTY)
                    && e.id().equals(duty)
                    && e.detail().equals("yes")
                    && e.ms() >= fromMs
                    && e.ms() <= toMs) {
                if (e.ms() - last >= leastMs) {
                    gaps.add(new double[] {last, e.ms()});
                }
                last = e.ms();
            }
        }
        if (toMs - last >= leastMs) {
            gaps.add(new double[] {last, toMs});
        }
        return gaps;
    }

    /**
     * Of faults that befell a holder, by their kinds: after how many milliseconds another grant was first seen, sorted;
     * those that left it holding don't count.
     */
    public static Map<String, double[]> takeovers(RunHistory run) {
        Map<String, List<Double>> gaps = new TreeMap<>();
        List<Event> events = run.events();
        for (int i = 0; i < events.size(); i++) {
            Event e = events.get(i);
            int index = e.what().equals(Event.FAULT) ? Integer.parseInt(e.id()) : -1;
            if (index < 0
                    || index >= run.scenario().faults().size()
                    || run.scenario().faults().get(index).holderOf().isEmpty()) {
                continue;
            }
            Fault f = run.scenario().faults().get(index);
            double epoch = -1;
            for (int j = i - 1; j >= 0 && epoch < 0; j--) {
                epoch = says(events.get(j), f.holderOf()) ? events.get(j).value() : -1;
            }
            for (int j = i + 1; j < events.size() && events.get(j).ms() < e.ms() + MOST_TAKEOVER_MS; j++) {
                if (says(events.get(j), f.holderOf()) && events.get(j).value() > epoch) {
                    gaps.computeIfAbsent(
                                    Fault.word(f.kind()) + (f.onLinks() && !f.twoWay() ? ", one way" : ""),
                                    k -> new ArrayList<>())
                            .add(events.get(j).ms() - e.ms());
                    break;
                }
            }
        }
        Map<String, double[]> sorted = new TreeMap<>();
        gaps.forEach((kind, all) ->
                sorted.put(kind, all.stream().mapToDouble(x -> x).sorted().toArray()));
        return sorted;
    }

    private static boolean says(Event e, String duty) {
        return e.what().equals(Event.DUTY) && e.id().equals(duty) && e.detail().equals("yes");
    }

    /** How often a duty was held under another epoch than before. */
    public static int moves(RunHistory run, String duty) {
        return (int) run.events().stream()
                .filter(e -> e.what().equals(Event.DUTY)
                        && e.id().equals(duty)
                        && e.detail().equals("yes"))
                .mapToDouble(Event::value)
                .distinct()
                .count();
    }
}
