package cacheproxy.snapshot.state;

import java.util.Map;

/**
 * What one pool's routing policy learned.
 *
 * @param keyScheme what the values of the pool's keys depend on: placement and key template
 * @param learned the learned state
 * @param addresses addresses, by id, of the servers in it; a server without one matches at any address
 */
public record PoolState(String keyScheme, LearnedState learned, Map<Integer, String> addresses) {}
