package cacheproxy.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/** Whoever receives acts under duties refuses those of an older epoch than it has seen. */
public final class FencingTokenCheck {
    /** Beyond these nothing is accepted that was not known before. */
    public static final int MOST_DUTIES = 4096;

    private final Map<Long, Long> seen = new HashMap<>();

    /** Whether an act under this epoch is to be carried out. */
    public boolean accepts(long duty, long epoch) {
        Long known = seen.get(duty);
        if (known == null && seen.size() >= MOST_DUTIES || known != null && epoch < known) {
            return false;
        }
        seen.put(duty, epoch);
        return true;
    }
}
