package cacheproxy.siblings;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When to stop telling somebody that he is denied. One whose questions are nearly all denied gains nothing from hearing
 * it, and an answer to a forged address is an attack on whom it belongs to: RFC 2187 has Squid's figures, which are
 * taken over. Bounded: those longest not heard from are forgotten. Pure.
 *
 * @param <A> an address
 */
public final class DenialLimiter<A> {
    static final int LEAST_QUESTIONS = 150;
    static final double DENIED_SHARE = 0.95;
    private final Map<A, int[]> counts;

    /** @param most addresses kept in mind */
    public DenialLimiter(int most) {
        counts = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<A, int[]> eldest) {
                return size() > most;
            }
        };
    }

    /** Notes a question and whether it was denied; true if it is to be answered. */
    public boolean answer(A from, boolean denied) {
        int[] c = counts.computeIfAbsent(from, a -> new int[2]);
        if (c[0] >= 1 << 20) { // old ones fade, or a reformed client would stay unheard
            c[0] >>= 1;
            c[1] >>= 1;
        }
        c[0]++;
        c[1] += denied ? 1 : 0;
        return !denied || c[0] < LEAST_QUESTIONS || c[1] < DENIED_SHARE * c[0];
    }
}
