package cacheproxy.policy;

/** The pure functions of CARP v1.0 (draft-vinod-carp-v1-03, sections 3.1 to 3.4) as our design fixes them. */
public final class CarpHash {
    /** The draft's multiplier of section 3.2. */
    public static final int SPREAD = 0x62531965;

    private CarpHash() {}

    /** Draft 3.1 over the key's text form: 16 lower-case hexadecimal digits. */
    public static int keyHash(long key) {
        return textHash(key, 16);
    }

    /** Draft 3.1 for members over the id's text form: 8 lower-case hexadecimal digits. */
    public static int memberHash(int id) {
        return spread(textHash(Integer.toUnsignedLong(id), 8));
    }

    private static int textHash(long value, int digits) {
        int hash = 0;
        for (int shift = 4 * (digits - 1); shift >= 0; shift -= 4) {
            hash += Integer.rotateLeft(hash, 19) + Character.forDigit((int) (value >>> shift) & 15, 16);
        }
        return hash;
    }

    private static int spread(int hash) {
        return Integer.rotateLeft(hash + hash * SPREAD, 21);
    }

    /**
     * Draft 3.2: both hashes combined, to be read as unsigned. Departure, always on: the draft's two steps run once
     * more. After one pass the top ten bits hang on ten bits of the XOR alone, so keys fall into 1,024 lots and in a
     * fleet of 120 equal members one gets 2.2 times its share; a second pass spreads them as evenly as chance.
     */
    public static int combine(int keyHash, int memberHash) {
        return spread(spread(keyHash ^ memberHash));
    }

    /** Draft 3.3 and 3.4: the score of a member for a key. */
    public static double score(int keyHash, int memberHash, float multiplier) {
        return (combine(keyHash, memberHash) & 0xFFFFFFFFL) * (double) multiplier;
    }

    /**
     * Draft 3.3: the load factor multipliers, in the order of the weights. The running product is kept as a logarithm,
     * so hundreds of members do not underflow; rounding below zero is clamped. All weights zero: equal.
     */
    public static float[] multipliers(float[] weights) {
        int count = weights.length;
        double sum = 0;
        for (float weight : weights) {
            sum += weight;
        }
        Integer[] order = new Integer[count];
        for (int i = 0; i < count; i++) {
            order[i] = i;
        }
        java.util.Arrays.sort(order, (left, right) -> Float.compare(weights[left], weights[right]));
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
}
