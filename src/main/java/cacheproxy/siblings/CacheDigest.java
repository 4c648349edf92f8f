package cacheproxy.siblings;

import java.util.Arrays;

/**
 * A bounded digest of the keys for which this proxy's servers have recently returned values. The queries of siblings
 * are answered from it.
 *
 * <p>The digest is a set-associative table: a key belongs to one bucket of {@value #BUCKET_SIZE} entries, and if the
 * bucket is full, the entry that was refreshed longest ago is replaced. An entry is valid for a fixed time and for the
 * incarnation of the server that it names: {@link #removeServer} invalidates all entries of a server by advancing that
 * server's epoch. The digest may omit a key; it reports a key that was not added only if two keys share their 64-bit
 * hash.
 *
 * <p>Allocates nothing after construction, reads no clock and is confined to one thread.
 */
public final class CacheDigest {
    /** Number of entries in a bucket. */
    private static final int BUCKET_SIZE = 8;

    private static final int MAX_CAPACITY = 1 << 24;
    private static final int MAX_SERVERS = (1 << 16) - 1;
    private static final double MAX_VALIDITY_MS = 365 * 86_400_000.0;
    /** Resolution of the times in entries. */
    private static final double TICK_MS = 100;

    private static final int EPOCH_SHIFT = 32;
    private static final int SLOT_SHIFT = 48;
    private static final long EMPTY = 0;

    private final long[] keys;
    /** For each entry: the server's slot (16 bits), the server's epoch (16), the tick of the last refresh (32). */
    private final long[] entries;

    private final int bucketMask;
    private final double validityTicks;
    /**
     * Ids of the known servers by slot, from slot 1 on; slot 0 stays unused, so that no entry equals {@link #EMPTY}.
     */
    private final int[] serverIds;

    private final short[] epochs;
    private int knownServers;

    /**
     * Creates an empty digest.
     *
     * @param capacity number of entries, a power of two from 8 to 2^24; each takes 16 octets
     * @param validityMs for how long an entry is valid after it was added, above 0 and up to a year
     * @param maxServers number of servers, 1 to 65,535; keys of further servers are not added
     * @throws IllegalArgumentException if an argument is out of its range
     */
    public CacheDigest(int capacity, double validityMs, int maxServers) {
        boolean capacityInRange =
                capacity >= BUCKET_SIZE && capacity <= MAX_CAPACITY && Integer.bitCount(capacity) == 1;
        boolean validityInRange = validityMs > 0 && validityMs <= MAX_VALIDITY_MS;
        boolean serversInRange = maxServers >= 1 && maxServers <= MAX_SERVERS;
        if (!capacityInRange || !validityInRange || !serversInRange) {
            throw new IllegalArgumentException(capacity + " entries, " + validityMs + " ms, " + maxServers
                    + " servers: one of these is out of range");
        }
        keys = new long[capacity];
        entries = new long[capacity];
        bucketMask = capacity / BUCKET_SIZE - 1;
        validityTicks = validityMs / TICK_MS;
        serverIds = new int[maxServers + 1];
        epochs = new short[maxServers + 1];
    }

    /** Adds or refreshes a key for which a server has just returned a value. */
    public void add(double nowMs, long key, int serverId) {
        int slot = slotOrNew(serverId);
        if (slot == 0) {
            return;
        }
        int tick = tick(nowMs);
        int index = indexToWrite(key, tick);
        keys[index] = key;
        entries[index] = (long) slot << SLOT_SHIFT | (epochs[slot] & 0xFFFFL) << EPOCH_SHIFT | (tick & 0xFFFFFFFFL);
    }

    /** Removes a key whose value is gone or may have changed: after a write, a miss or a sibling's invalidation. */
    public void remove(long key) {
        int index = find(key, bucketStart(key));
        if (index >= 0) {
            entries[index] = EMPTY;
        }
    }

    /** Removes all keys of a server that has restarted or left. */
    public void removeServer(int serverId) {
        int slot = slot(serverId);
        if (slot > 0 && ++epochs[slot] == 0) {
            epochs[slot] = 1;
            clearEntriesOf(slot); // the epoch has wrapped: old entries would become valid again
        }
    }

    /** Removes all keys. */
    public void clear() {
        Arrays.fill(entries, EMPTY);
    }

    /** Returns whether a server is known to hold this key; {@link #serverOf} returns which one. */
    public boolean contains(double nowMs, long key) {
        int index = find(key, bucketStart(key));
        if (index < 0) {
            return false;
        }
        if (!isValid(entries[index], tick(nowMs))) {
            entries[index] = EMPTY;
            return false;
        }
        return true;
    }

    /**
     * Returns the id of the server that last returned this key's value. Call it only for a key that the digest
     * contains.
     */
    public int serverOf(long key) {
        return serverIds[slotOf(entries[find(key, bucketStart(key))])];
    }

    private boolean isValid(long entry, int nowTick) {
        return (short) (entry >>> EPOCH_SHIFT) == epochs[slotOf(entry)] && nowTick - (int) entry <= validityTicks;
    }

    private static int slotOf(long entry) {
        return (int) (entry >>> SLOT_SHIFT);
    }

    private int bucketStart(long key) {
        long hash = key * 0x9E3779B97F4A7C15L;
        return (int) (hash >>> 40 & bucketMask) * BUCKET_SIZE;
    }

    private static int tick(double nowMs) {
        return (int) (long) (nowMs / TICK_MS); // wraps in 13 years; ticks are compared by their difference
    }

    private int slot(int serverId) {
        for (int i = 1; i <= knownServers; i++) {
            if (serverIds[i] == serverId) {
                return i;
            }
        }
        return 0;
    }

    /** Returns the slot of a server, which is a new one if it had none; 0 if all slots are taken. */
    private int slotOrNew(int serverId) {
        int known = slot(serverId);
        if (known > 0 || knownServers == serverIds.length - 1) {
            return known;
        }
        serverIds[++knownServers] = serverId;
        epochs[knownServers] = 1;
        return knownServers;
    }

    private int find(long key, int bucketStart) {
        for (int i = bucketStart; i < bucketStart + BUCKET_SIZE; i++) {
            if (entries[i] != EMPTY && keys[i] == key) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Returns the index at which to write a key: its existing entry, else the first empty entry of its bucket, else the
     * oldest.
     */
    private int indexToWrite(long key, int nowTick) {
        int start = bucketStart(key);
        int existing = find(key, start);
        if (existing >= 0) {
            return existing;
        }
        int oldest = start;
        for (int i = start; i < start + BUCKET_SIZE; i++) {
            if (entries[i] == EMPTY) {
                return i;
            }
            if (nowTick - (int) entries[i] > nowTick - (int) entries[oldest]) {
                oldest = i;
            }
        }
        return oldest;
    }

    private void clearEntriesOf(int slot) {
        for (int i = 0; i < entries.length; i++) {
            if (slotOf(entries[i]) == slot) {
                entries[i] = EMPTY;
            }
        }
    }
}
