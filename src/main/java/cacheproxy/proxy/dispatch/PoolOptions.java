package cacheproxy.proxy.dispatch;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.upstream.ConnectionLimits;

/**
 * What a pool is created with.
 *
 * @param settings of its routing policy
 * @param seed of its random draws
 * @param connections bounds on its connections to one server
 * @param stockServers whether cache servers are stock ones, which give no receipts and no ids with a miss
 * @param placements creates the placement of keys on servers
 * @param admission decides what may be sent to servers that are in slow start or ejected, and which retries
 */
public record PoolOptions(
        PolicySettings settings,
        long seed,
        ConnectionLimits connections,
        boolean stockServers,
        PlacementFactory placements,
        AdmissionControl admission) {}
