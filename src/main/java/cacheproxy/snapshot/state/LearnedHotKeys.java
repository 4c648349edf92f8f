package cacheproxy.snapshot.state;

import java.util.List;

/**
 * Keys that are requested so often that one server is not enough for them.
 *
 * @param total requests for all keys in the period in which the keys were counted
 * @param keys the hot keys, hottest first
 */
public record LearnedHotKeys(double total, List<LearnedHotKey> keys) {}
