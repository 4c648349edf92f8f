package cacheproxy.policy;

/**
 * What a policy has done with a server in its slow start, for operators. Costs are requests of average work.
 *
 * @param serverId the server's id
 * @param warmingUp whether the slow start goes on
 * @param listedStartMs the server's start time in the endpoint list
 * @param ageMs milliseconds since its start, by this proxy's clock
 * @param budget what this proxy may have at the server within {@link PolicySettings#collapseAfterMs}; infinite if the
 *     settings have no bound
 * @param usedCost what counts against the budget now
 * @param admitted attempts since the start
 * @param withheld attempts since the start that the budget did not allow
 */
public record SlowStartStatus(
        int serverId,
        boolean warmingUp,
        double listedStartMs,
        double ageMs,
        double budget,
        double usedCost,
        long admitted,
        long withheld) {}
