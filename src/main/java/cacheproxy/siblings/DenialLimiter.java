package cacheproxy.siblings;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides whether a denied query is answered at all. A client whose queries are nearly all denied gains nothing from
 * the answers, and an answer to a forged sender address attacks the owner of that address. The thresholds are those
 * that RFC 2187 gives for Squid. The number of addresses is bounded: those not seen for the longest time are removed.
 * Reads no clock.
 *
 * @param <A> the type of an address
 */
public final class DenialLimiter<A> {
    /** An address with fewer queries always gets answers. */
    static final int MIN_QUERIES = 150;
    /** At this share of denied queries and above, denials are no longer sent. */
    private static final double MAX_DENIED_SHARE = 0.95;
    /** At this count an address's counts are halved, so that old queries lose weight. */
    private static final int MAX_COUNT = 1 << 20;

    private final Map<A, QueryCounts> countsByAddress;

    private static final class QueryCounts {
        private int queries;
        private int denied;

        void add(boolean isDenied) {
            if (queries >= MAX_COUNT) {
                queries >>= 1;
                denied >>= 1;
            }
            queries++;
            denied += isDenied ? 1 : 0;
        }

        boolean isMostlyDenied() {
            return queries >= MIN_QUERIES && denied >= MAX_DENIED_SHARE * queries;
        }
    }

    /**
     * Creates a limiter without counts.
     *
     * @param maxAddresses the maximum number of addresses whose counts are kept
     */
    public DenialLimiter(int maxAddresses) {
        countsByAddress = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<A, QueryCounts> eldest) {
                return size() > maxAddresses;
            }
        };
    }

    /** Counts a query and returns whether it is to be answered. A query that is not denied is always answered. */
    public boolean shouldAnswer(A from, boolean denied) {
        QueryCounts counts = countsByAddress.computeIfAbsent(from, address -> new QueryCounts());
        counts.add(denied);
        return !denied || !counts.isMostlyDenied();
    }
}
