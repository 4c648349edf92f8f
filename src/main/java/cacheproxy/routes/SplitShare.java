package cacheproxy.routes;

/**
 * A share chosen as nginx's {@code split_clients} does: by a range of the MurmurHash2 values of a text.
 *
 * @param template the text to hash
 * @param fromHash first hash of the share, 0 to 2^32 - 1
 * @param toHash the hash after the last, up to 2^32
 */
public record SplitShare(PlacementTemplate template, long fromHash, long toHash) implements TrafficShare {
    /** Number of hash values. */
    public static final long HASH_RANGE = 1L << 32;

    private static final int MURMUR_MULTIPLIER = 0x5bd1e995;

    /** Checks the range. */
    public SplitShare {
        if (fromHash < 0 || toHash > HASH_RANGE || fromHash >= toHash) {
            throw new IllegalArgumentException("invalid share: hashes from " + fromHash + " to " + toHash);
        }
    }

    /** Returns Austin Appleby's MurmurHash2 with seed 0, as an unsigned number. */
    public static long hash(byte[] text) {
        int hash = text.length;
        int i = 0;
        for (; text.length - i >= 4; i += 4) {
            int word = (text[i] & 255) | (text[i + 1] & 255) << 8 | (text[i + 2] & 255) << 16 | text[i + 3] << 24;
            word *= MURMUR_MULTIPLIER;
            word ^= word >>> 24;
            hash = hash * MURMUR_MULTIPLIER ^ word * MURMUR_MULTIPLIER;
        }
        int remaining = text.length - i;
        if (remaining > 0) {
            for (int j = remaining - 1; j >= 0; j--) {
                hash ^= (text[i + j] & 255) << (8 * j);
            }
            hash *= MURMUR_MULTIPLIER;
        }
        hash ^= hash >>> 13;
        hash *= MURMUR_MULTIPLIER;
        return (hash ^ hash >>> 15) & 0xFFFFFFFFL;
    }

    private long hash(RouteInput input) {
        return hash(template.hashInput(input, null, input.rawKey()));
    }

    @Override
    public boolean contains(RouteInput input) {
        long hash = hash(input);
        return hash >= fromHash && hash < toHash;
    }

    @Override
    public boolean covers(TrafficShare other) {
        return other instanceof SplitShare share
                && template.equals(share.template)
                && fromHash <= share.fromHash
                && toHash >= share.toHash;
    }

    @Override
    public String mismatch(RouteInput input) {
        return "key is outside the share, at " + hash(input) + " of " + HASH_RANGE;
    }
}
