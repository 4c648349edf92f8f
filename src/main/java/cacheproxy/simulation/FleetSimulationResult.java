package cacheproxy.simulation;

/**
 * Sums over all proxies of a fleet, which no proxy sees.
 *
 * @param requests of clients, each with its retries counted once
 * @param served of those: responded to in time, by any attempt of the client
 * @param unanswered attempts of clients that never got a final response; the rules allow none
 * @param maxColdLoad the most work that a server was sent while it was warming up, in the time after which it would
 *     collapse, by what it could do in that time; the rule has a bound. Spans in which a third or more came from
 *     proxies that had not been told of its start are left out
 * @param maxBudgetUse the most work that a server was sent in such a span, by what the rule allows it: N + 2 root(N) +
 *     2 requests of mean work, or N + 3 root(N) + 3 for N under 30, where N is the settings' multiple of what it could
 *     do in the middle of the span. Above 1 the server collapses
 * @param maxWriteEffects how often a write took effect at most; the rules allow 1
 * @param attempts of proxies, also at the origin
 * @param crossZoneAttempts of those: to another zone
 * @param rejectedAttempts of those: rejected for a full queue
 * @param unreachableAttempts of those: to a server that had ended or was isolated
 * @param hedgedAttempts of those: sent while an earlier one was in flight
 * @param coldAttempts of those: to a server that was warming up
 * @param originReads reads that were sent to the origin
 * @param events that policies were told of
 */
public record FleetSimulationResult(
        int requests,
        int served,
        int unanswered,
        double maxColdLoad,
        double maxBudgetUse,
        int maxWriteEffects,
        int attempts,
        int crossZoneAttempts,
        int rejectedAttempts,
        int unreachableAttempts,
        int hedgedAttempts,
        int coldAttempts,
        int originReads,
        long events) {
    /** Returns the part of the requests that were served. */
    public double servedFraction() {
        return requests == 0 ? 1 : (double) served / requests;
    }

    /** Returns the attempts for each request. */
    public double attemptsPerRequest() {
        return requests == 0 ? 0 : (double) attempts / requests;
    }

    /** Returns the attempts to other zones for each request. */
    public double crossZoneAttemptsPerRequest() {
        return requests == 0 ? 0 : (double) crossZoneAttempts / requests;
    }
}
