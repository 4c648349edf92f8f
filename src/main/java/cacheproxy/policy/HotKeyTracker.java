package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts recent requests for each key and decides over how many servers a hot key is spread. Counts are halved
 * periodically, and a key whose count reaches 0 is removed.
 */
final class HotKeyTracker {
    /** Long enough to detect a hot key at a proxy with a few requests a second. */
    private static final double HALVING_PERIOD_MS = 4000;

    /** A key with fewer recent requests is never hot. */
    private static final int MIN_COUNT = 6;

    /** Maximum number of keys that are recorded as spread. */
    private static final int MAX_SPREAD_KEYS = 256;

    private final Map<Long, int[]> counts = new HashMap<>();

    /**
     * Keys that were spread, for snapshots; a halving removes those with fewer than {@link #MIN_COUNT} requests left.
     */
    private final Set<Long> spreadKeys = new HashSet<>();

    private double totalCount;

    /**
     * Decaying count of this process's own requests. Restored counts are left out because with them a hot key would
     * seem small enough for a server in slow start.
     */
    private double ownCount;

    private double ownCountAtMs;
    private double halvedAtMs;

    /** Records a request for a key and returns the key's recent requests, this one included. */
    int record(long key, double nowMs) {
        while (nowMs - halvedAtMs > HALVING_PERIOD_MS) {
            halve(nowMs);
        }
        totalCount++;
        ownCount = ownCount * ExponentialDecay.remaining(nowMs - ownCountAtMs) + 1;
        ownCountAtMs = nowMs;
        return ++counts.computeIfAbsent(key, newKey -> new int[1])[0];
    }

    private void halve(double nowMs) {
        halvedAtMs = counts.isEmpty() ? nowMs : halvedAtMs + HALVING_PERIOD_MS;
        totalCount /= 2;
        counts.values().removeIf(count -> (count[0] /= 2) == 0);
        spreadKeys.removeIf(key -> counts.getOrDefault(key, new int[1])[0] < MIN_COUNT);
    }

    /**
     * Returns how many servers the requests for a key are spread over, at least 1: enough that each receives no more of
     * them than its fair share of all requests.
     *
     * @param recentCount the key's recent requests, as {@link #record} returned them
     * @param maxSpread how many servers the placement allows
     */
    int spread(long key, int recentCount, int maxSpread) {
        int spread = recentCount < MIN_COUNT ? 1 : (int) Math.ceil(recentCount / totalCount * maxSpread);
        if (spread > 1 && spreadKeys.size() < MAX_SPREAD_KEYS) {
            spreadKeys.add(key);
        }
        return Math.max(1, Math.min(spread, maxSpread));
    }

    /** Returns the decaying count of requests that this process has seen itself, as of the last {@link #record}. */
    double ownCount() {
        return ownCount;
    }

    /** Returns at most {@code maxKeys} spread keys for a snapshot, hottest first. */
    LearnedHotKeys learned(int maxKeys) {
        List<LearnedHotKey> keys = new ArrayList<>();
        for (Long key : spreadKeys) {
            int[] count = counts.get(key);
            if (count != null) {
                keys.add(new LearnedHotKey(key, count[0]));
            }
        }
        keys.sort((left, right) -> Integer.compare(right.count(), left.count()));
        return new LearnedHotKeys(totalCount, List.copyOf(keys.subList(0, Math.min(maxKeys, keys.size()))));
    }

    /** Adds the counts of an earlier process. */
    void restore(LearnedHotKeys learned, double nowMs) {
        halvedAtMs = counts.isEmpty() ? nowMs : halvedAtMs;
        totalCount += learned.total();
        for (LearnedHotKey hotKey : learned.keys()) {
            counts.computeIfAbsent(hotKey.key(), newKey -> new int[1])[0] += hotKey.count();
        }
    }
}
