package cacheproxy.snapshot.state;

/**
 * A hot key.
 *
 * @param key the 64-bit key
 * @param count recent requests for it
 */
public record LearnedHotKey(long key, int count) {}
