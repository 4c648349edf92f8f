package cacheproxy.fleet.healthcheck;

/**
 * Counts since the start, for operators.
 *
 * @param ownChecks checks of this proxy for itself
 * @param checksForOthers checks of this proxy for others
 * @param reportedResults results of others that were used
 * @param lateResults results of others that were ignored for coming late or unrequested
 * @param staleEpochResults results of others that were ignored for an older epoch
 */
public record HealthCheckCounts(
        long ownChecks, long checksForOthers, long reportedResults, long lateResults, long staleEpochResults) {}
