package cacheproxy.snapshot.state;

import java.util.List;

/**
 * Keys requested so often that one server is too few for them.
 *
 * @param total requests for all keys in the span that the keys were counted in
 * @param keys the hot keys, hottest first
 */
public record LearnedHotKeys(double total, List<LearnedHotKey> keys) {}
