package cacheproxy.faulttest.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Spans of time in which endpoints were in one state, such as paused. Times in microseconds since the run's start. */
final class EndpointSpans {
    /** A span; both ends belong to it. */
    record Span(long fromUs, long toUs) {
        /** Returns whether it overlaps another span. */
        boolean overlaps(long otherFromUs, long otherToUs) {
            return fromUs <= otherToUs && otherFromUs <= toUs;
        }

        /** The length of the overlap with another span, microseconds. */
        long overlapUs(long otherFromUs, long otherToUs) {
            return Math.max(0, Math.min(otherToUs, toUs) - Math.max(otherFromUs, fromUs));
        }
    }

    private final Map<String, Long> openSinceUs = new HashMap<>();
    private final Map<String, List<Span>> spans = new HashMap<>();

    /** Begins a span of an endpoint, unless one is open. */
    void begin(String endpoint, long fromUs) {
        openSinceUs.putIfAbsent(endpoint, fromUs);
    }

    /** Returns whether a span of an endpoint has begun and not ended. */
    boolean isOpen(String endpoint) {
        return openSinceUs.containsKey(endpoint);
    }

    /** Ends the open span of an endpoint, if there is one. */
    void end(String endpoint, long toUs) {
        Long fromUs = openSinceUs.remove(endpoint);
        if (fromUs != null) {
            add(endpoint, fromUs, toUs);
        }
    }

    /** Ends all open spans. */
    void endAll(long toUs) {
        openSinceUs.forEach((endpoint, fromUs) -> add(endpoint, fromUs, toUs));
        openSinceUs.clear();
    }

    /** Adds a span that has ended. */
    void add(String endpoint, long fromUs, long toUs) {
        spans.computeIfAbsent(endpoint, key -> new ArrayList<>()).add(new Span(fromUs, toUs));
    }

    /** The ended spans of an endpoint, in the order of their ends. */
    List<Span> of(String endpoint) {
        return spans.getOrDefault(endpoint, List.of());
    }

    /** Returns whether a span of an endpoint overlaps the given one. */
    boolean overlaps(String endpoint, long fromUs, long toUs) {
        return of(endpoint).stream().anyMatch(span -> span.overlaps(fromUs, toUs));
    }

    /** How much of the given span is covered by spans of an endpoint, microseconds. */
    long overlapUs(String endpoint, long fromUs, long toUs) {
        return of(endpoint).stream()
                .mapToLong(span -> span.overlapUs(fromUs, toUs))
                .sum();
    }
}
