package cacheproxy.fleet.quota;

/**
 * A quota as one proxy sees it. Amounts are requests per second, or concurrent requests.
 *
 * @param spec its definition
 * @param capacity what this proxy may spend at present: owned and granted
 * @param owned what is left of its static share after donations
 * @param donated what it has donated of its share
 * @param demand what it could use
 * @param inUse requests that are under way; 0 for a rate
 * @param consumed requests admitted since the start
 * @param rejected requests rejected since the start
 * @param isolatedSinceMs since when it needs more than it owns and no allocator has replied; NaN if that is not so
 */
public record QuotaStatus(
        QuotaSpec spec,
        double capacity,
        double owned,
        double donated,
        double demand,
        int inUse,
        long consumed,
        long rejected,
        double isolatedSinceMs) {}
