package cacheproxy.config;

import cacheproxy.routes.PlacementTemplate;
import java.util.List;

/**
 * {@code [[pool]]}: servers that share a placement and bounds.
 *
 * @param origin the server that misses and writes go to; null if there is none
 * @param discovery where the endpoint list comes from; null if {@code servers} is the list
 * @param placement one of {@link cacheproxy.placement.PlacementRegistry}
 * @param placeBy what the placement hashes; null for the pool's key
 * @param connections connections to each server
 * @param originConnections connections to the origin
 * @param streams large values in transfer at once
 * @param maxPending requests in progress
 * @param maxRequestsPerSecond 0 if unbounded
 * @param retryRatio retries allowed for each request
 * @param guaranteedRetries retries allowed whatever the number of requests
 * @param plainServers whether servers speak the standard protocol only
 * @param dedupGroup pools of the same name drop repeats of keyed requests together; null if none does
 * @param fallback the pool that takes the requests this one rejects, where the route names none; null if none does
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
