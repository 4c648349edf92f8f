package cacheproxy.policy;

/**
 * A server as the endpoint list has it.
 *
 * @param id identifies the server at all proxies; carries no order
 * @param zone index of its zone, below {@link PolicySettings#zoneCount}
 * @param kind index of its kind of machine, below {@link PolicySettings#kindCount}
 * @param cell number of its cell, a small set of servers that share which idempotency keys they have seen
 * @param state whether it takes requests
 * @param weight relative share of keys, finite and not negative
 * @param startedMs when it last started, in Unix milliseconds of the list's clock; 0: long ago
 */
public record Endpoint(int id, int zone, int kind, int cell, EndpointState state, float weight, double startedMs) {}
