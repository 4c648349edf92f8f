package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Scenario;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What all proxies together send to the nodes of the requests that a scenario's limit bounds, counted as it comes to
 * them: a request once, however often it is tried. In no window may surely have come more than the limit's part of it,
 * what may be saved up, and what clocks that run fast make of it. At once: a request is surely in hand from when it
 * came to a node until {@value #ANSWER_MS} ms before its client had the answer, which may have been on its way for so
 * long.
 */
public final class QuotaChecker implements Checker {
    /** Windows over which it is judged, ms. */
    static final double[] WINDOWS = {100, 1000, 10_000};

    private static final double DRIFT = 0.01;
    static final double ANSWER_MS = 25;

    @Override
    public String name() {
        return "limit-kept";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        Scenario.Limit limit = run.scenario().limit();
        if (limit == null) {
            return f;
        }
        List<Event> came = arrivals(run);
        came.forEach(e -> f.looked());
        if (limit.atOnce() > 0) {
            inHand(run, limit, f);
            return f;
        }
        for (double window : WINDOWS) {
            int[] most = most(came, window);
            double allowed = allowed(limit, window);
            if (most[0] > allowed) {
                f.broken(
                        came.get(most[1]),
                        String.format(
                                java.util.Locale.ROOT,
                                "%d came within %.0f ms, where the limit and its bound allow %.1f",
                                most[0],
                                window,
                                allowed));
            }
        }
        return f;
    }

    /** What may come in a window. */
    public static double allowed(Scenario.Limit limit, double windowMs) {
        return limit.perSecond() * windowMs / 1000 * (1 + DRIFT) + limit.saved();
    }

    /** First arrivals of requests that the limit bounds. */
    static List<Event> arrivals(RunHistory run) {
        Set<String> bounded = new HashSet<>();
        Set<String> seen = new HashSet<>();
        List<Event> came = new ArrayList<>();
        for (Event e : run.events()) {
            if (e.what().equals(Event.ASKED)
                    && e.detail().equals(run.scenario().limit().kind())) {
                bounded.add(e.id());
            } else if (e.what().equals(Event.ARRIVED) && bounded.contains(e.id()) && seen.add(e.id())) {
                came.add(e);
            }
        }
        return came;
    }

    /** How many surely came within one window, and the event with which the window ends. */
    static int[] most(List<Event> came, double windowMs) {
        int[] most = {0, 0};
        long window = (long) (windowMs * 1000);
        // Each that certainly lies between a begin and its end: neither earlier than the one nor later than the other.
        long[] earliest = came.stream().mapToLong(Event::earliest).toArray();
        for (int last = 0, from = 0; last < came.size(); last++) {
            long begin = came.get(last).us() - window;
            while (from < last && came.get(from).us() < begin) {
                from++;
            }
            int n = 0;
            for (int i = from; i <= last; i++) {
                n += earliest[i] >= begin ? 1 : 0;
            }
            if (n > most[0]) {
                most[0] = n;
                most[1] = last;
            }
        }
        return most;
    }

    /** Spans in which each is surely in hand, and how many of them are at once. */
    private static void inHand(RunHistory run, Scenario.Limit limit, Violations f) {
        Map<String, Event> came = new HashMap<>();
        arrivals(run).forEach(e -> came.put(e.id(), e));
        List<long[]> turns = new ArrayList<>();
        Set<String> over = new HashSet<>();
        for (Event e : run.events()) {
            boolean end = e.what().equals(Event.ANSWERED)
                    || e.what().equals(Event.GONE)
                    || e.what().equals(Event.LEFT);
            Event from = end && over.add(e.id()) ? came.get(e.id()) : null;
            long until = e.earliest() - (long) (ANSWER_MS * 1000);
            if (from != null && until > from.us()) {
                turns.add(new long[] {from.us(), 1});
                turns.add(new long[] {until, -1});
            }
        }
        turns.sort((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
        int inHand = 0;
        for (long[] t : turns) {
            inHand += (int) t[1];
            if (t[1] > 0 && inHand > limit.atOnce() + limit.saved()) {
                f.broken(
                        new Event(t[0], 0, "rig", Event.ARRIVED, "", "", inHand),
                        inHand + " in hand, where " + limit.atOnce() + " and " + limit.saved() + " are allowed");
            }
        }
    }

    /** By window: the most that came, over what the limit alone allows. */
    public static double[] over(RunHistory run) {
        List<Event> came = arrivals(run);
        return Arrays.stream(WINDOWS)
                .map(w -> most(came, w)[0] - run.scenario().limit().perSecond() * w / 1000)
                .toArray();
    }

    /** The part of a rate that lay idle while as much was refused, in whole seconds of the load but its first ones. */
    public static double idle(RunHistory run, double skippedMs) {
        double[] asked = run.events().stream()
                .filter(e -> e.what().equals(Event.ASKED))
                .mapToDouble(Event::ms)
                .toArray();
        return asked.length == 0 ? 0 : idle(run, asked[0] + skippedMs, asked[asked.length - 1]);
    }

    private static double idle(RunHistory run, double fromMs, double toMs) {
        double perSecond = run.scenario().limit().perSecond();
        int seconds = (int) Math.max(1, (toMs - fromMs) / 1000);
        double[] came = new double[seconds];
        double[] refused = new double[seconds];
        for (Event e : arrivals(run)) {
            count(came, e, fromMs);
        }
        Set<String> bounded = new HashSet<>();
        for (Event e : run.events()) {
            if (e.what().equals(Event.ASKED)
                    && e.detail().equals(run.scenario().limit().kind())) {
                bounded.add(e.id());
            } else if (e.what().equals(Event.ANSWERED) && e.detail().equals("refused") && bounded.contains(e.id())) {
                count(refused, e, fromMs);
            }
        }
        double idle = 0;
        for (int s = 0; s < seconds; s++) {
            idle += Math.min(refused[s], Math.max(0, perSecond - came[s]));
        }
        return idle / perSecond / seconds;
    }

    private static void count(double[] of, Event e, double fromMs) {
        int s = (int) Math.floor((e.ms() - fromMs) / 1000);
        if (s >= 0 && s < of.length) {
            of[s]++;
        }
    }
}
