package cacheproxy.snapshot.state;

import java.util.Map;

/**
 * What one pool's routing policy learned.
 *
 * @param keyScheme the settings that determine the values of the pool's keys: placement and key template
 * @param learned the learned state
 * @param addresses addresses of the servers in {@code learned}, by id; a server without one matches at any address
 */
public record PoolState(String keyScheme, LearnedState learned, Map<Integer, String> addresses) {}
