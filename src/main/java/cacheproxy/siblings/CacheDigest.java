package cacheproxy.siblings;

import java.util.Arrays;

/**
 * The keys that our servers lately answered, so that a sibling's question can be answered though nothing is kept here.
 * A fixed number of places in buckets of eight: a key has one bucket, and where that is full the one longest not seen
 * makes room. An entry holds for a time and for the process of the server that it names; a restart voids all of a
 * server's at once by its epoch. Nothing is allocated after the start. It may forget a key; it never invents one, but
 * for two keys of one 64-bit number. Free of clocks; times in milliseconds. One thread's.
 */
public final class CacheDigest {
    private static final int WAYS = 8;
    private static final int MOST_SERVERS = 1 << 16;
    /** What one step of an entry's time stands for. */
    private static final double TICK_MS = 100;

    private final long[] keys;
    /** Server's slot (16), its epoch (16), tick of being seen (32); 0 is an empty place. */
    private final long[] facts;

    private final int mask;
    private final double holdsTicks;
    private final int[] servers;
    private final short[] epochs;
    private int known;

    /**
     * @param places keys at most, a power of two from 8 to 2^24; 16 octets each
     * @param holdsMs for how long an answer speaks for the next; up to a year
     * @param servers servers at most, 1 to 65,535; those beyond are not noted
     */
    public CacheDigest(int places, double holdsMs, int servers) {
        if (places < WAYS
                || places > 1 << 24
                || Integer.bitCount(places) != 1
                || !(holdsMs > 0 && holdsMs <= 365 * 86_400_000.0)
                || servers < 1
                || servers >= MOST_SERVERS) {
            throw new IllegalArgumentException(places + " places, " + holdsMs + " ms, " + servers + " servers");
        }
        keys = new long[places];
        facts = new long[places];
        mask = places / WAYS - 1;
        holdsTicks = holdsMs / TICK_MS;
        this.servers = new int[servers + 1];
        epochs = new short[servers + 1];
    }

    private int bucket(long key) {
        long h = key * 0x9E3779B97F4A7C15L;
        return (int) (h >>> 40 & mask) * WAYS;
    }

    private static int tick(double now) {
        return (int) (long) (now / TICK_MS); // wraps in 13 years; compared by difference
    }

    /** A server's slot from 1 on; 0: it has none. */
    private int slot(int server, boolean add) {
        for (int i = 1; i <= known; i++) {
            if (servers[i] == server) {
                return i;
            }
        }
        if (!add || known == servers.length - 1) {
            return 0;
        }
        servers[++known] = server;
        epochs[known] = 1;
        return known;
    }

    private int find(long key, int bucket) {
        for (int i = bucket; i < bucket + WAYS; i++) {
            if (facts[i] != 0 && keys[i] == key) {
                return i;
            }
        }
        return -1;
    }

    /** A server has answered with this key's value. */
    public void answered(double now, long key, int server) {
        int slot = slot(server, true);
        if (slot == 0) {
            return;
        }
        int bucket = bucket(key);
        int tick = tick(now);
        int at = find(key, bucket);
        for (int i = bucket; at < 0 && i < bucket + WAYS; i++) {
            at = facts[i] == 0 ? i : -1;
        }
        if (at < 0) {
            at = bucket;
            for (int i = bucket + 1; i < bucket + WAYS; i++) {
                if (tick - (int) facts[i] > tick - (int) facts[at]) {
                    at = i;
                }
            }
        }
        keys[at] = key;
        facts[at] = (long) slot << 48 | (epochs[slot] & 0xFFFFL) << 32 | (tick & 0xFFFFFFFFL);
    }

    /** The key is not there any more, or may be another: a write, a miss, a word from a sibling. */
    public void gone(long key) {
        int at = find(key, bucket(key));
        if (at >= 0) {
            facts[at] = 0;
        }
    }

    /** All that a server had is gone: it has restarted or left. */
    public void restarted(int server) {
        int slot = slot(server, false);
        if (slot > 0 && ++epochs[slot] == 0) {
            epochs[slot] = 1;
            for (int i = 0; i < facts.length; i++) { // an epoch comes again after 65,535 restarts
                if (facts[i] >>> 48 == slot) {
                    facts[i] = 0;
                }
            }
        }
    }

    /** Forgets all. */
    public void clear() {
        Arrays.fill(facts, 0);
    }

    /** Whether a server is said to hold this key now; {@link #server} tells which. */
    public boolean holds(double now, long key) {
        int at = find(key, bucket(key));
        if (at < 0) {
            return false;
        }
        int slot = (int) (facts[at] >>> 48);
        if ((short) (facts[at] >>> 32) != epochs[slot] || tick(now) - (int) facts[at] > holdsTicks) {
            facts[at] = 0;
            return false;
        }
        return true;
    }

    /** Of a key that is held: the server that answered last. */
    public int server(long key) {
        return servers[(int) (facts[find(key, bucket(key))] >>> 48)];
    }
}
