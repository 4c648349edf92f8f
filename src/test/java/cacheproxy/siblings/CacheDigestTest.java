package cacheproxy.siblings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the digest with a reference map, and checks replacement and invalidation at their bounds. */
class CacheDigestTest {
    /** The digest may omit what the map still holds, but must never contain more. */
    @Test
    void digestNeverContainsWhatAReferenceMapDoesNot() {
        SplittableRandom random = new SplittableRandom(1);
        CacheDigest digest = new CacheDigest(1024, 5000, 20);
        Map<Long, double[]> reference = new HashMap<>(); // server and time of the last addition
        double nowMs = 1.7e12;
        int containedCount = 0;
        int expectedCount = 0;
        for (int i = 0; i < 200_000; i++) {
            nowMs += random.nextDouble() * 20;
            long key = random.nextInt(800) * 0x1234567L;
            int server = random.nextInt(20);
            switch (random.nextInt(10)) {
                case 0 -> {
                    digest.remove(key);
                    reference.remove(key);
                }
                case 1 -> {
                    if (random.nextInt(50) == 0) {
                        digest.removeServer(server);
                        reference.values().removeIf(entry -> entry[0] == server);
                    }
                }
                case 2, 3, 4, 5 -> {
                    digest.add(nowMs, key, server);
                    reference.put(key, new double[] {server, nowMs});
                }
                default -> {
                    double[] entry = reference.get(key);
                    boolean isExpected = entry != null && nowMs - entry[1] <= 5000 - 100;
                    expectedCount += isExpected ? 1 : 0;
                    if (digest.contains(nowMs, key)) {
                        assertThat(entry).isNotNull();
                        assertThat(nowMs - entry[1]).isLessThanOrEqualTo(5000 + 100);
                        assertThat(digest.serverOf(key)).isEqualTo((int) entry[0]);
                        containedCount += isExpected ? 1 : 0;
                    }
                }
            }
        }
        assertThat(containedCount)
                .as("share of the map's entries that the digest still contains")
                .isGreaterThan(expectedCount * 9 / 10);
    }

    @Test
    void digestReplacesTheOldestEntryWhenABucketIsFull() {
        CacheDigest digest = new CacheDigest(8, 1e6, 2);
        for (int i = 1; i <= 20; i++) {
            digest.add(i * 1000, i, 7);
        }
        int containedCount = 0;
        for (int i = 1; i <= 20; i++) {
            containedCount += digest.contains(20_000, i) ? 1 : 0;
            assertThat(digest.contains(20_000, i)).isEqualTo(i > 12);
        }
        assertThat(containedCount).isEqualTo(8);
        digest.add(1, 99, 8);
        digest.add(1, 98, 9); // no slot for a third server
        assertThat(digest.contains(1, 98)).isFalse();
        digest.clear();
        assertThat(digest.contains(20_000, 20)).isFalse();
    }

    /** The epoch of a server has 16 bits; an old entry must not become valid again after that many restarts. */
    @Test
    void entryStaysInvalidWhenTheServerEpochWraps() {
        CacheDigest digest = new CacheDigest(8, 1e6, 1);
        digest.add(0, 1, 7);
        for (int i = 0; i < 70_000; i++) {
            digest.removeServer(7);
            assertThat(digest.contains(0, 1)).isFalse();
        }
        digest.add(0, 1, 7);
        assertThat(digest.contains(0, 1)).isTrue();
    }
}
