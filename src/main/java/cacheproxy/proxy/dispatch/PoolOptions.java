package cacheproxy.proxy.dispatch;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.upstream.ConnectionLimits;

/**
 * The options with which a pool is created.
 *
 * @param settings the settings of its routing policy
 * @param seed the seed of its random choices
 * @param connections the limits on its connections to one server
 * @param stockServers whether the cache servers are stock servers, which send no receipts, and no ids with a miss
 * @param placements creates the placement of keys on servers
 * @param admission decides what may be sent to servers that are in slow start or ejected, and which retries are allowed
 *     are allowed
 */
public record PoolOptions(
        PolicySettings settings,
        long seed,
        ConnectionLimits connections,
        boolean stockServers,
        PlacementFactory placements,
        AdmissionControl admission) {}
