package cacheproxy.proxy.upstream;

import java.util.ArrayDeque;

/**
 * The attempts on one connection, in the order in which their responses arrive: first those that have begun, then those
 * that wait to be written.
 */
final class AttemptQueue {
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>(4);
    /** The number of attempts that have not begun. */
    private int waiting;
    /** The number of attempts that have begun and were abandoned, so that their pending responses are not needed. */
    private int abandoned;

    /** How many attempts there are. */
    int size() {
        return attempts.size();
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** The attempt whose response is expected next, or that is written next; null if there is none. */
    Attempt first() {
        return attempts.peek();
    }

    /** Removes and returns {@link #first}; null if there is none. Used when the connection has closed. */
    Attempt removeFirst() {
        return attempts.poll();
    }

    /** Removes and returns {@link #first}, whose response has arrived. The queue must not be empty. */
    Attempt removeResponded() {
        Attempt first = attempts.remove();
        if (first.isAbandoned()) {
            abandoned--;
        }
        return first;
    }

    /** Adds an attempt that has not begun. */
    void add(Attempt attempt) {
        attempts.add(attempt);
        waiting++;
    }

    /** Whether some attempt has not begun. */
    boolean hasWaiting() {
        return waiting > 0;
    }

    /** The first attempt that has not begun. There must be one. */
    Attempt firstWaiting() {
        if (waiting == 1 && !attempts.peekLast().hasBegun()) {
            return attempts.peekLast();
        }
        for (Attempt attempt : attempts) {
            if (!attempt.hasBegun()) {
                return attempt;
            }
        }
        throw new IllegalStateException("none of " + attempts.size() + " attempts is waiting to be written");
    }

    /** Records that an attempt begins now. */
    void begin(Attempt attempt) {
        waiting--;
        attempt.markBegun();
    }

    /** Removes an attempt that has not begun; returns false if it is not in the queue. */
    boolean removeWaiting(Attempt attempt) {
        boolean found = attempts.remove(attempt);
        if (found) {
            waiting--;
        }
        return found;
    }

    /**
     * Records that the response of an attempt that has begun is no longer needed. Returns whether this now applies to
     * all attempts in the queue.
     */
    boolean abandon(Attempt attempt) {
        if (!attempts.contains(attempt)) {
            return false;
        }
        if (!attempt.isAbandoned()) {
            attempt.setAbandoned(true);
            abandoned++;
        }
        return abandoned == attempts.size();
    }

    /** Records that the response of an attempt, which may have been abandoned, is needed. */
    void keep(Attempt attempt) {
        if (attempt.isAbandoned()) {
            attempt.setAbandoned(false);
            abandoned--;
        }
    }

    /** Returns whether the connection can be closed without harm to any attempt: each may be repeated elsewhere. */
    boolean mayAllBeCutOff(double nowMs) {
        for (Attempt attempt : attempts) {
            if (attempt.hasBegun() && !attempt.mayBeCutOff(nowMs)) {
                return false;
            }
        }
        return true;
    }
}
