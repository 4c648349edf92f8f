package cacheproxy.routes;

/**
 * A share as nginx's {@code split_clients} chooses it: MurmurHash2 of a text, held against bounds.
 *
 * @param by the text
 * @param from least hash that belongs to it, 0 to 2^32 - 1
 * @param to behind the greatest, up to 2^32
 */
public record SplitShare(PlacementTemplate by, long from, long to) implements TrafficShare {
    public static final long ALL = 1L << 32;

    public SplitShare {
        if (from < 0 || to > ALL || from >= to) {
            throw new IllegalArgumentException("share from " + from + " to " + to);
        }
    }

    /** Austin Appleby's MurmurHash2 with the seed 0 XOR length; unsigned. */
    public static long hash(byte[] text) {
        final int m = 0x5bd1e995;
        int h = text.length;
        int i = 0;
        for (; text.length - i >= 4; i += 4) {
            int k = (text[i] & 255) | (text[i + 1] & 255) << 8 | (text[i + 2] & 255) << 16 | text[i + 3] << 24;
            k *= m;
            k ^= k >>> 24;
            h = h * m ^ k * m;
        }
        int left = text.length - i;
        if (left > 0) {
            for (int j = left - 1; j >= 0; j--) {
                h ^= (text[i + j] & 255) << (8 * j);
            }
            h *= m;
        }
        h ^= h >>> 13;
        h *= m;
        return (h ^ h >>> 15) & 0xFFFFFFFFL;
    }

    @Override
    public boolean has(RouteInput s) {
        long h = hash(by.bytes(s, null, s.text()));
        return h >= from && h < to;
    }

    @Override
    public boolean covers(TrafficShare other) {
        return other instanceof SplitShare o && by.equals(o.by) && from <= o.from && to >= o.to;
    }

    @Override
    public String without(RouteInput s) {
        return "key is outside the share, at " + hash(by.bytes(s, null, s.text())) + " of " + ALL;
    }
}
