package cacheproxy.simulation;

/**
 * Sums over all proxies of a fleet, which no proxy sees.
 *
 * @param asked clients' requests, each with its repeats counted once
 * @param served of those: answered in time, at any try
 * @param unanswered tries that never got a final answer; the rules allow none
 * @param worstCold the most work that a cold node was sent in the rule's span, by what it could do in it; the rule has
 *     a bound. Spans in which a third or more came from proxies that had not been told of its start are left out
 * @param worstEffect how often an unsafe write ran at most; the rules allow 1
 * @param attempts all, also at the origin
 * @param crossed of those: to another zone
 * @param full of those: turned away for a full queue
 * @param dead of those: to a node that was gone or silent
 * @param copies of those: sent while an earlier one was out
 * @param coldSends of those: to a cold node
 * @param fetches reads sent to the origin
 * @param decisions events that modules were told of
 */
public record FleetSimulationResult(
        int asked,
        int served,
        int unanswered,
        double worstCold,
        int worstEffect,
        int attempts,
        int crossed,
        int full,
        int dead,
        int copies,
        int coldSends,
        int fetches,
        long decisions) {
    /** Part of the requests that were served. */
    public double service() {
        return asked == 0 ? 1 : (double) served / asked;
    }

    /** Attempts for each request. */
    public double attemptsEach() {
        return asked == 0 ? 0 : (double) attempts / asked;
    }

    /** Attempts to other zones for each request. */
    public double crossedEach() {
        return asked == 0 ? 0 : (double) crossed / asked;
    }
}
