package cacheproxy.fleet.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The requests and solicitations whose replies are still accepted, in the order in which they were sent. */
final class SentRequests {
    /** Maximum number of entries; beyond it nothing is sent until older ones are forgotten. */
    private static final int MAX_REQUESTS = 4096;

    /**
     * A request that was sent.
     *
     * @param to the receiver; for a solicitation the process itself
     */
    record Sent(double atMs, long to) {}

    private final Map<Long, Sent> byId = new LinkedHashMap<>();

    /** Returns whether no further request can be sent now. */
    boolean isFull() {
        return byId.size() >= MAX_REQUESTS;
    }

    /** Adds a request. */
    void add(long requestId, Sent sent) {
        byId.put(requestId, sent);
    }

    /** Returns when and to whom a request was sent; empty if it is no longer known. */
    Optional<Sent> find(long requestId) {
        return Optional.ofNullable(byId.get(requestId));
    }

    /** Returns when the oldest request to this peer was sent; NaN if there is none. */
    double oldestSentMs(long peer) {
        for (Sent sent : byId.values()) {
            if (sent.to == peer) {
                return sent.atMs;
            }
        }
        return Double.NaN;
    }

    /** Forgets requests of at least this age. */
    void forget(double nowMs, double ageMs) {
        Iterator<Sent> oldest = byId.values().iterator();
        while (oldest.hasNext() && nowMs - oldest.next().atMs >= ageMs) {
            oldest.remove();
        }
    }
}
