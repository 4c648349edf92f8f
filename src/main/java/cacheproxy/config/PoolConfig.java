package cacheproxy.config;

import cacheproxy.routes.PlacementTemplate;
import java.util.List;

/**
 * {@code [[pool]]}: servers that share a placement and limits.
 *
 * @param origin the server that misses and writes go to; null if there is none
 * @param discovery where the endpoint list comes from; null if {@code servers} is the list
 * @param placement name of a placement in {@link cacheproxy.placement.PlacementRegistry}
 * @param placeBy what the placement hashes; null for the pool's key
 * @param connections number of connections to each server
 * @param originConnections number of connections to the origin
 * @param streams maximum number of large values in transfer at the same time
 * @param maxPending maximum number of requests in progress
 * @param maxRequestsPerSecond maximum rate of requests; 0 if unbounded
 * @param retryRatio number of retries allowed for each request
 * @param guaranteedRetries retries per second allowed regardless of the number of requests
 * @param plainServers whether servers speak the standard protocol only
 * @param dedupGroup name of the group of pools that drop repeats of keyed requests together; null if the pool is in
 *     none
 * @param fallback the pool that receives the requests this one rejects if the route names no further pool; null if
 *     there is none
 * @param siblings names of the sibling caches that are queried before the origin
 */
public record PoolConfig(
        String name,
        List<ServerConfig> servers,
        ServerConfig origin,
        DiscoveryConfig discovery,
        String placement,
        PlacementTemplate placeBy,
        int connections,
        int originConnections,
        int streams,
        int maxPending,
        double maxRequestsPerSecond,
        double retryRatio,
        double guaranteedRetries,
        boolean plainServers,
        String dedupGroup,
        String fallback,
        List<String> siblings) {}
