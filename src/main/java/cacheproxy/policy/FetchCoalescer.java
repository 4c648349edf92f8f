package cacheproxy.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Coalesces fetches: of the requests that miss for one key, the first leads the fetch and the others wait for it. Only
 * requests with a key take part.
 */
final class FetchCoalescer {
    private final Map<Long, PendingRequest> leaders = new HashMap<>();

    /**
     * Lets a request wait for the fetch of its key by another request.
     *
     * @return false if it may fetch itself: nobody leads the fetch, or the request does and has not fetched yet
     */
    boolean join(PendingRequest pending) {
        PendingRequest leader = leaders.get(pending.request().key());
        if (leader == null || (leader == pending && !pending.isFetching())) {
            return false;
        }
        if (leader != pending) {
            leader.addWaiter(pending);
            pending.setWaiting(true);
        }
        return true;
    }

    /** Makes a request the leader of its key's fetch, unless there is one, which may be the request itself. */
    void addLeader(PendingRequest pending) {
        if (leaders.putIfAbsent(pending.request().key(), pending) == null) {
            pending.startLeading();
        }
    }

    /** Whether a request leads its key's fetch. */
    boolean isLeader(PendingRequest pending) {
        return leaders.get(pending.request().key()) == pending;
    }

    /** Ends the lead of a request; returns those that have waited for it, first come first. */
    ArrayDeque<PendingRequest> removeLeader(PendingRequest pending) {
        leaders.remove(pending.request().key());
        return pending.stopLeading();
    }
}
