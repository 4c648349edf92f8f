package cacheproxy.fleet.healthcheck;

/**
 * Counts since the start, for operators.
 *
 * @param ownChecks checks that this proxy made for itself
 * @param checksForOthers checks that this proxy made for others
 * @param reportedResults results from others that were used
 * @param lateResults results from others that were ignored because they were late or not requested
 * @param staleEpochResults results from others that were ignored because of an older epoch
 */
public record HealthCheckCounts(
        long ownChecks, long checksForOthers, long reportedResults, long lateResults, long staleEpochResults) {}
