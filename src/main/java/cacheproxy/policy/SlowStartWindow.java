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

    private final double windowMs;
    private final double rounding;
    private final ArrayDeque<EndedAttempt> ended = new ArrayDeque<>();
    private double endedCost;
    private double inFlightCost;
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
        if (usedCost(nowMs) + cost > allowedCost(budget)) {
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
