package cacheproxy.fleet.quota;

/**
 * The status of a quota at one proxy. Amounts are requests per second, or concurrent requests.
 *
 * @param spec the definition of the quota
 * @param capacity the capacity that this proxy may spend now: owned and granted
 * @param owned the amount that is left of its static share after donations
 * @param donated the amount that it has donated from its share
 * @param demand the capacity that it could use
 * @param inUse requests that are in flight; 0 for a rate
 * @param consumed requests admitted since the start
 * @param rejected requests rejected since the start
 * @param isolatedSinceMs since when it needs more than it owns and no allocator has replied; NaN if it is not isolated
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
