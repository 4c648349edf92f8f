package cacheproxy.proxy.upstream;

import java.util.ArrayDeque;

/**
 * The attempts on one connection, in the order in which their responses come: first those that have begun, then those
 * that wait to be written.
 */
final class AttemptQueue {
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>(4);
    /** How many have not begun. */
    private int waiting;
    /** How many have begun and were abandoned, so that nobody needs the response that is still to come. */
    private int abandoned;

    /** How many attempts there are. */
    int size() {
        return attempts.size();
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** The attempt whose response comes next, or that is to be written next; null if there is none. */
    Attempt first() {
        return attempts.peek();
    }

    /** Removes and returns {@link #first}; null if there is none. For a connection that has closed. */
    Attempt removeFirst() {
        return attempts.poll();
    }

    /** Removes and returns {@link #first}, whose response has come. There must be one. */
    Attempt removeResponded() {
        Attempt first = attempts.remove();
        if (first.hasEnded()) {
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
        throw new IllegalStateException("none of " + attempts.size() + " attempts waits");
    }

    /** Records that an attempt begins now. */
    void begin(Attempt attempt) {
        waiting--;
        attempt.markBegun();
    }

    /** Removes an attempt that has not begun; false if it is not here. */
    boolean removeWaiting(Attempt attempt) {
        boolean found = attempts.remove(attempt);
        if (found) {
            waiting--;
        }
        return found;
    }

    /** Records that nobody needs the response of an attempt that has begun. Returns whether this holds for all now. */
    boolean abandon(Attempt attempt) {
        return attempts.contains(attempt) && ++abandoned == attempts.size();
    }
}
