package cacheproxy.policy;

import java.util.Arrays;

/** The hash functions of CARP v1.0 (draft-vinod-carp-v1-03, sections 3.1 to 3.4), with one deviation. */
public final class CarpHash {
    /** The multiplier of section 3.2. */
    public static final int HASH_MULTIPLIER = 0x62531965;

    private static final int KEY_DIGITS = 16;
    private static final int MEMBER_DIGITS = 8;
    private static final int BITS_PER_DIGIT = 4;
    private static final int RADIX = 16;
    private static final long UNSIGNED_INT_MASK = 0xFFFFFFFFL;

    private CarpHash() {}

    /** Returns the hash of section 3.1 of a key's text form: 16 lower-case hexadecimal digits. */
    public static int keyHash(long key) {
        return textHash(key, KEY_DIGITS);
    }

    /** Returns the member hash of section 3.1 of an id's text form: 8 lower-case hexadecimal digits. */
    public static int memberHash(int id) {
        return mix(textHash(Integer.toUnsignedLong(id), MEMBER_DIGITS));
    }

    private static int textHash(long value, int digits) {
        int hash = 0;
        for (int shift = BITS_PER_DIGIT * (digits - 1); shift >= 0; shift -= BITS_PER_DIGIT) {
            int digit = (int) (value >>> shift) & (RADIX - 1);
            hash += Integer.rotateLeft(hash, 19) + Character.forDigit(digit, RADIX);
        }
        return hash;
    }

    private static int mix(int hash) {
        return Integer.rotateLeft(hash + hash * HASH_MULTIPLIER, 21);
    }

    /**
     * Returns the combined hash of section 3.2, an unsigned integer.
     *
     * <p>Unlike in the draft, the two steps of that section run twice. After one pass the upper ten bits depend on only
     * ten bits of the XOR, so that keys fall into 1,024 groups, and one of 120 equal members then gets 2.2 times its
     * share. A second pass distributes keys as evenly as random draws.
     */
    public static int combine(int keyHash, int memberHash) {
        return mix(mix(keyHash ^ memberHash));
    }

    /** Returns a member's score for a key, as in sections 3.3 and 3.4. */
    public static double score(int keyHash, int memberHash, float multiplier) {
        return (combine(keyHash, memberHash) & UNSIGNED_INT_MASK) * (double) multiplier;
    }

    /**
     * Returns the load factor multipliers of section 3.3, in the order of the weights. The running product is kept as a
     * logarithm, so that it does not underflow with hundreds of members; differences that become negative through
     * rounding are clamped to zero. If all weights are zero, members have equal shares.
     *
     * @param weights finite and not negative
     */
    public static float[] multipliers(float[] weights) {
        int count = weights.length;
        double sum = 0;
        for (float weight : weights) {
            sum += weight;
        }
        Integer[] order = ascending(weights);
        float[] multipliers = new float[count];
        double previousShare = 0;
        double logProduct = 0;
        double logMultiplier = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < count; i++) {
            int remaining = count - i;
            double share = sum > 0 ? weights[order[i]] / sum : 1.0 / count;
            double step = remaining * Math.max(0, share - previousShare);
            double power = (step > 0 ? Math.exp(Math.log(step) - logProduct) : 0) + Math.exp(remaining * logMultiplier);
            logMultiplier = Math.log(power) / remaining;
            multipliers[order[i]] = (float) Math.exp(logMultiplier);
            if (power > 0) {
                logProduct += logMultiplier;
            }
            previousShare = share;
        }
        return multipliers;
    }

    /** Returns the indexes of weights in ascending order of the weights. */
    private static Integer[] ascending(float[] weights) {
        Integer[] order = new Integer[weights.length];
        for (int i = 0; i < order.length; i++) {
            order[i] = i;
        }
        Arrays.sort(order, (left, right) -> Float.compare(weights[left], weights[right]));
        return order;
    }
}
