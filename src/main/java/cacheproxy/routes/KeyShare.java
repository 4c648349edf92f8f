package cacheproxy.routes;

/**
 * A share of all keys, for canary releases. Keys are hashed into {@value #BUCKETS} buckets; shares with the same salt
 * and adjacent ranges partition the keys.
 *
 * @param salt shares with different salts choose independently of each other
 * @param fromBucket first bucket, 0 to 9,999
 * @param toBucket the bucket after the last, up to 10,000
 */
public record KeyShare(String salt, int fromBucket, int toBucket) implements TrafficShare {
    /** Number of buckets: the resolution of a share. */
    public static final int BUCKETS = 10_000;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int SEPARATOR = 0xFF;

    /** Checks the range. */
    public KeyShare {
        if (fromBucket < 0 || toBucket > BUCKETS || fromBucket >= toBucket) {
            throw new IllegalArgumentException("invalid share: buckets from " + fromBucket + " to " + toBucket);
        }
    }

    /** Returns the bucket of a key: FNV-1a over salt and key, then the finalizer of MurmurHash3. */
    public static int bucketOf(String salt, String key) {
        long hash = fnv1a(FNV_OFFSET_BASIS, salt);
        hash = (hash ^ SEPARATOR) * FNV_PRIME;
        hash = fnv1a(hash, key);
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return (int) Long.remainderUnsigned(hash ^ hash >>> 33, BUCKETS);
    }

    private static long fnv1a(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** The query of a path is not hashed, so that all requests for one path are on the same side of the share. */
    @Override
    public boolean contains(RouteInput input) {
        return contains(input.key());
    }

    /** Returns whether a key belongs to the share. */
    public boolean contains(String key) {
        int bucket = bucketOf(salt, key);
        return bucket >= fromBucket && bucket < toBucket;
    }

    @Override
    public boolean covers(TrafficShare other) {
        return other instanceof KeyShare share
                && salt.equals(share.salt)
                && fromBucket <= share.fromBucket
                && toBucket >= share.toBucket;
    }

    @Override
    public String mismatch(RouteInput input) {
        return "key is outside the share, at " + bucketOf(salt, input.key()) + " of " + BUCKETS;
    }
}
