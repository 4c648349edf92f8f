package cacheproxy.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Coalesces fetches: of the requests that miss for one key, the first becomes the leader and fetches, and the others
 * wait for it. Requests without a key are not coalesced.
 */
final class FetchCoalescer {
    private final Map<Long, PendingRequest> leaders = new HashMap<>();

    /**
     * Makes a request wait for another request's fetch of the same key.
     *
     * @return false if the request may fetch itself: its key has no leader, or the request is the leader and has not
     *     fetched yet
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

    /** Makes a request the leader for its key, unless the key already has a leader, which may be the request itself. */
    void addLeader(PendingRequest pending) {
        if (leaders.putIfAbsent(pending.request().key(), pending) == null) {
            pending.startLeading();
        }
    }

    /** Returns whether a request is the leader for its key. */
    boolean isLeader(PendingRequest pending) {
        return leaders.get(pending.request().key()) == pending;
    }

    /** Removes a request as the leader for its key; returns the requests that waited for it, in order of arrival. */
    ArrayDeque<PendingRequest> removeLeader(PendingRequest pending) {
        leaders.remove(pending.request().key());
        return pending.stopLeading();
    }
}
