package cacheproxy.policy;

import java.util.ArrayDeque;

/**
 * The attempts at a server since its present start that count against its slow-start budget: those that are in flight,
 * and those that ended less than one window ago. An attempt reaches its server between its admission and its end, so
 * all attempts that arrive within one window count together at some moment, however late each of them arrives.
 *
 * <p>Costs are requests of average work, at least 1 for each attempt, so the budget bounds the number of entries.
 */
final class SlowStartWindow {
    /** An attempt that has ended, and until when it counts. */
    private record EndedAttempt(double untilMs, double cost) {}

    /** An attempt that has begun, and what all that counted could cost when it was admitted. */
    private record BegunAttempt(double atMs, double cost, double allowedCost) {}

    /** Sums of costs differ by no more than this for the order in which they were added. */
    private static final double ROUNDING_ERROR = 1e-6;

    private final double windowMs;
    private final double rounding;
    private final ArrayDeque<EndedAttempt> ended = new ArrayDeque<>();
    private final ArrayDeque<BegunAttempt> begun = new ArrayDeque<>();
    private double endedCost;
    private double inFlightCost;
    private double begunCost;
    private long admitted;
    private long withheld;

    /**
     * Creates the window of a server that has just started.
     *
     * @param windowMs for how long an attempt counts after its end
     * @param rounding what is added to a budget before it is rounded down, from 0 to less than 1
     */
    SlowStartWindow(double windowMs, double rounding) {
        this.windowMs = windowMs;
        this.rounding = rounding;
    }

    /** Admits an attempt if it fits the budget; returns whether it does. */
    boolean tryAdmit(double nowMs, double cost, double budget) {
        if (usedCost(nowMs) + cost > allowedCost(budget) + ROUNDING_ERROR) {
            withheld++;
            return false;
        }
        inFlightCost += cost;
        admitted++;
        return true;
    }

    /** Records the end of an attempt that was admitted. */
    void end(double nowMs, double cost) {
        inFlightCost -= cost;
        endedCost += cost;
        ended.add(new EndedAttempt(nowMs + windowMs, cost));
    }

    /** Takes back the admission of an attempt that was never sent. */
    void giveBack(double cost) {
        inFlightCost -= cost;
        admitted--;
    }

    /** Takes back an admission because another budget does not allow the attempt. */
    void deny(double cost) {
        giveBack(cost);
        withheld++;
    }

    /**
     * Records that the first byte of an attempt is written. This count is independent of {@link #tryAdmit}.
     *
     * @param allowedCost what all attempts that counted could cost when this one was admitted
     * @return false if the attempts that have begun within one window cost more than any of their admissions allowed
     */
    boolean recordBegin(double nowMs, double cost, double allowedCost) {
        while (!begun.isEmpty() && begun.peek().atMs <= nowMs - windowMs) {
            begunCost -= begun.poll().cost;
        }
        begun.add(new BegunAttempt(nowMs, cost, allowedCost));
        begunCost += cost;
        double greatestAllowed = 0;
        for (BegunAttempt attempt : begun) {
            greatestAllowed = Math.max(greatestAllowed, attempt.allowedCost);
        }
        return begunCost <= greatestAllowed + ROUNDING_ERROR;
    }

    /** Returns the cost of the attempts that count now. */
    double usedCost(double nowMs) {
        while (!ended.isEmpty() && ended.peek().untilMs <= nowMs) {
            endedCost -= ended.poll().cost;
        }
        return inFlightCost + endedCost;
    }

    /** Returns the greatest cost that may count at once under a budget. */
    double allowedCost(double budget) {
        return Math.floor(budget + rounding);
    }

    /** Returns how many attempts were admitted and not given back. */
    long admitted() {
        return admitted;
    }

    /** Returns how many attempts were not admitted. */
    long withheld() {
        return withheld;
    }
}
