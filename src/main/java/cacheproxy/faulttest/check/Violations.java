package cacheproxy.faulttest.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a checker found: the number of violations, messages for the first of them, and how many items were judged, as
 * zero violations among zero judged items prove nothing.
 */
public final class Violations {
    /** Violations that get a message; later ones are only counted. */
    public static final int MAX_MESSAGES = 20;

    private final List<String> messages = new ArrayList<>();
    private int count;
    private long judged;

    /** Counts one item that the checker judged. */
    void countJudged() {
        judged++;
    }

    /** Adds a violation that was detected at this event. */
    void add(Event event, String message) {
        count++;
        if (messages.size() < MAX_MESSAGES) {
            messages.add(String.format(Locale.ROOT, "%.3f s: %s", event.timeUs() / 1e6, message));
        }
    }

    /** How many violations there are. */
    public int count() {
        return count;
    }

    /** How many requests, writes or the like were judged. */
    public long judged() {
        return judged;
    }

    /** Messages of the first {@link #MAX_MESSAGES} violations. */
    public List<String> messages() {
        return messages;
    }
}
