package cacheproxy.policy;

/**
 * A server in the endpoint list.
 *
 * @param id identifies the server at all proxies; its order has no meaning
 * @param zone index of its zone, below {@link PolicySettings#zoneCount}
 * @param kind index of its kind of machine, below {@link PolicySettings#kindCount}
 * @param cell number of its cell, a small set of servers that share their record of seen idempotency keys
 * @param state whether it accepts requests
 * @param weight relative share of keys, finite and not negative
 * @param startedMs when it last started, in Unix milliseconds on the list's clock; 0 if long ago
 */
public record Endpoint(int id, int zone, int kind, int cell, EndpointState state, float weight, double startedMs) {}
