package cacheproxy.fleet.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The requests and solicitations whose replies still count, in the order in which they were sent. */
final class SentRequests {
    /** Beyond these nothing is sent until older ones are forgotten. */
    private static final int MAX_REQUESTS = 4096;

    /**
     * A request that was sent.
     *
     * @param to the receiver; for a solicitation the process itself
     */
    record Sent(double atMs, long to) {}

    private final Map<Long, Sent> byId = new LinkedHashMap<>();

    /** Whether no further one can be sent now. */
    boolean isFull() {
        return byId.size() >= MAX_REQUESTS;
    }

    /** Adds one. */
    void add(long requestId, Sent sent) {
        byId.put(requestId, sent);
    }

    /** When it was sent and to whom; empty if it is not known any more. */
    Optional<Sent> find(long requestId) {
        return Optional.ofNullable(byId.get(requestId));
    }

    /** When the oldest request to this peer was sent; NaN if there is none. */
    double oldestSentMs(long peer) {
        for (Sent sent : byId.values()) {
            if (sent.to == peer) {
                return sent.atMs;
            }
        }
        return Double.NaN;
    }

    /** Forgets those of this age. */
    void forget(double nowMs, double ageMs) {
        Iterator<Sent> oldest = byId.values().iterator();
        while (oldest.hasNext() && nowMs - oldest.next().atMs >= ageMs) {
            oldest.remove();
        }
    }
}
