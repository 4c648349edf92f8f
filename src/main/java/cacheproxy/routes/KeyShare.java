package cacheproxy.routes;

/**
 * A share of all keys, always the same ones: for canaries. Two shares with the same salt and touching ranges split the
 * keys between them.
 *
 * @param salt shares with other salts choose independently of each other
 * @param from first ten-thousandth, 0 to 9,999
 * @param to behind the last, up to 10,000
 */
public record KeyShare(String salt, int from, int to) implements TrafficShare {
    public static final int ALL = 10_000;

    public KeyShare {
        if (from < 0 || to > ALL || from >= to) {
            throw new IllegalArgumentException("share from " + from + " to " + to);
        }
    }

    /** The key's place among ten thousand: FNV-1a over salt and key, then MurmurHash3's finaliser. */
    public static int place(String salt, String key) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < salt.length(); i++) {
            h = (h ^ salt.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ 0xFF) * 0x100000001b3L;
        for (int i = 0; i < key.length(); i++) {
            h = (h ^ key.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return (int) Long.remainderUnsigned(h ^ h >>> 33, ALL);
    }

    /** A query is no part of what is split: {@code place} of the path, or of the whole text. */
    @Override
    public boolean has(RouteInput s) {
        return has(s.key());
    }

    public boolean has(String key) {
        int place = place(salt, key);
        return place >= from && place < to;
    }

    @Override
    public boolean covers(TrafficShare other) {
        return other instanceof KeyShare o && salt.equals(o.salt) && from <= o.from && to >= o.to;
    }

    @Override
    public String without(RouteInput s) {
        return "key is outside the share, at " + place(salt, s.key()) + " of " + ALL;
    }
}
