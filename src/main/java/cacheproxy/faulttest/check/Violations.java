package cacheproxy.faulttest.check;

import java.util.ArrayList;
import java.util.List;

/**
 * What breaks an invariant: the first in words, all of them counted; and how much was looked at, as none of none says
 * nothing.
 */
public final class Violations {
    public static final int MOST = 20;

    private final List<String> words = new ArrayList<>();
    private int count;
    private long looked;

    void looked() {
        looked++;
    }

    void broken(Event at, String what) {
        count++;
        if (words.size() < MOST) {
            words.add(String.format(java.util.Locale.ROOT, "%.3f s: %s", at.us() / 1e6, what));
        }
    }

    public int count() {
        return count;
    }

    /** How many requests, writes or the like were judged. */
    public long judged() {
        return looked;
    }

    public List<String> words() {
        return words;
    }
}
