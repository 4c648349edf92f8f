package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.Scenario;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A whole history in the order of time, with what befell each proxy. */
public final class RunHistory {
    /** A span in microseconds. */
    record Span(long from, long to) {
        boolean meets(long a, long b) {
            return from <= b && a <= to;
        }
    }

    /** Who could be told for so long has been told. */
    private static final long HEARS_US = 300_000;

    private final Scenario scenario;
    private final List<Event> events;
    /** Spans in which a process stood still, or ran in beats, or was not there. */
    private final Map<String, List<Span>> stopped = new HashMap<>();

    private final Map<String, List<Span>> gone = new HashMap<>();
    private final Map<String, List<Span>> cutOff = new HashMap<>();
    /** Spans of {@link #gone} that began with a kill, or with an end that nobody ordered. */
    private final Map<String, List<Span>> killed = new HashMap<>();

    private final long endUs;

    /** @param events in any order */
    public RunHistory(Scenario scenario, List<Event> events) {
        this.scenario = scenario;
        this.events = new ArrayList<>(events);
        this.events.sort(Comparator.comparingLong(Event::us));
        endUs = events.isEmpty() ? 0 : this.events.get(events.size() - 1).us();
        Map<String, Long> stop = new HashMap<>();
        Map<String, Long> down = new HashMap<>();
        Map<String, Long> dead = new HashMap<>();
        for (Event e : this.events) {
            switch (e.what()) {
                case Event.STOPPED -> stop.putIfAbsent(e.who(), e.earliest());
                case Event.CONTINUED -> close(stop, stopped, e);
                case Event.KILLED -> {
                    down.putIfAbsent(e.who(), e.earliest());
                    dead.putIfAbsent(e.who(), e.earliest());
                }
                case Event.TERMED -> down.putIfAbsent(e.who(), e.earliest());
                case Event.ENDED -> {
                    close(stop, stopped, e);
                    if (!down.containsKey(e.who())) {
                        dead.putIfAbsent(e.who(), e.earliest());
                    }
                    down.putIfAbsent(e.who(), e.earliest());
                }
                case Event.READY -> {
                    close(down, gone, e);
                    close(dead, killed, e);
                }
                default -> {}
            }
        }
        stop.forEach((who, from) -> span(stopped, who, from, endUs));
        down.forEach((who, from) -> span(gone, who, from, endUs));
        dead.forEach((who, from) -> span(killed, who, from, endUs));
        cuts();
    }

    private static void close(Map<String, Long> open, Map<String, List<Span>> spans, Event e) {
        Long from = open.remove(e.who());
        if (from != null) {
            span(spans, e.who(), from, e.us());
        }
    }

    private static void span(Map<String, List<Span>> spans, String who, long from, long to) {
        spans.computeIfAbsent(who, k -> new ArrayList<>()).add(new Span(from, to));
    }

    /** Cuts between proxies and discovery, by the fault's and the healing's events. */
    private void cuts() {
        Map<String, Event> begun = new HashMap<>();
        for (Event e : events) {
            if (e.what().equals(Event.FAULT)) {
                begun.put(e.id(), e);
            } else if (e.what().equals(Event.HEALED) && begun.containsKey(e.id())) {
                cut(e.id(), begun.remove(e.id()).earliest(), e.us());
            }
        }
        begun.forEach((id, e) -> cut(id, e.earliest(), endUs));
    }

    private void cut(String id, long from, long to) {
        int index = Integer.parseInt(id);
        if (index >= scenario.faults().size()) {
            return;
        }
        Fault f = scenario.faults().get(index);
        if (!f.onLinks()) {
            return;
        }
        boolean here = f.to().contains("discovery");
        boolean there = f.who().contains("discovery");
        if (here || there) {
            (here ? f.who() : f.to()).forEach(p -> span(cutOff, p, from, to));
        }
    }

    public Scenario scenario() {
        return scenario;
    }

    /** In the order of time. */
    public List<Event> events() {
        return events;
    }

    public long endUs() {
        return endUs;
    }

    /** Whether a process stood still or was not there at some time of a span. */
    public boolean troubled(String proxy, long from, long to) {
        return meets(stopped, proxy, from, to) || meets(gone, proxy, from, to);
    }

    /** Whether it was being ended or was not there. */
    public boolean ending(String proxy, long from, long to) {
        return meets(gone, proxy, from, to);
    }

    /**
     * Whether a process was dead at some time of a span: killed, or crashed; one that was asked to end is not until it
     * is killed.
     */
    public boolean dead(String proxy, long from, long to) {
        return meets(killed, proxy, from, to);
    }

    /** How long it stood still in a span, microseconds. */
    public long stoppedUs(String proxy, long from, long to) {
        return stopped.getOrDefault(proxy, List.of()).stream()
                .mapToLong(s -> Math.max(0, Math.min(to, s.to) - Math.max(from, s.from)))
                .sum();
    }

    /**
     * From when on word of discovery could reach a proxy: the given time, or the end of the troubles that stood in the
     * way from then on without a pause in which it could have heard.
     */
    public long informedFrom(String proxy, long from) {
        List<Span> troubles = new ArrayList<>();
        List.of(stopped, gone, cutOff).forEach(kind -> troubles.addAll(kind.getOrDefault(proxy, List.of())));
        troubles.sort(Comparator.comparingLong(Span::from));
        long free = from;
        for (Span s : troubles) {
            if (s.to >= free && s.from < free + HEARS_US) {
                free = s.to;
            }
        }
        return free;
    }

    private static boolean meets(Map<String, List<Span>> spans, String who, long from, long to) {
        return spans.getOrDefault(who, List.of()).stream().anyMatch(s -> s.meets(from, to));
    }
}
