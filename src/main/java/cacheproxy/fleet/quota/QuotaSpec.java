package cacheproxy.fleet.quota;

/**
 * A limit of the whole fleet.
 *
 * @param name as operators know it
 * @param atOnce whether it bounds what is in hand at once; else what comes in a second
 * @param amount requests a second, above 0, or at once, a whole number from 1
 * @param burst of a rate: what may be saved up for bursts by the whole fleet, besides one for each proxy
 * @param alone what a proxy does that nobody answers
 * @param sharePart the part of the amount that proxies own, in equal shares, and spend without a word of anybody; the
 *     rest is dealt out by whoever holds the duty. 0 to 1
 * @param holdMs for so long what was begun may go on: 0 for a rate, the longest deadline for what is in hand; the same
 *     at all proxies
 */
public record QuotaSpec(
        String name, boolean atOnce, double amount, double burst, Alone alone, double sharePart, double holdMs) {
    /** What a proxy without word spends. */
    public enum Alone {
        /** Its share, which with those of all others makes the limit. */
        SHARE,
        /** What it was last granted, less and less until it is the share. */
        LAST,
        /** Nothing: the whole limit is dealt out. */
        NONE
    }

    /** A last grant decays over so many times the grants' time. */
    static final double DECAY = 5;

    public QuotaSpec {
        if (name.isEmpty()
                || !(amount > 0)
                || atOnce && amount != Math.rint(amount)
                || !(burst >= 0)
                || !(holdMs >= 0)
                || !atOnce && holdMs > 0
                || !(sharePart >= 0 && sharePart <= 1)) {
            throw new IllegalArgumentException(
                    "limit " + name + " of " + amount + ", burst " + burst + ", share part " + sharePart);
        }
        if (alone == Alone.NONE) {
            sharePart = 0;
        }
    }

    /** What each of so many proxies owns. */
    public double share(int proxies) {
        double share = amount * sharePart / Math.max(1, proxies);
        return atOnce ? Math.floor(share + 1e-9) : share;
    }

    /**
     * What the holder of the duty deals out of nobody's share.
     *
     * @param changing whether the list of proxies is being changed: then others may go by other shares
     */
    public double pool(int proxies, boolean changing) {
        return atOnce && !changing ? amount - share(proxies) * Math.max(1, proxies) : amount * (1 - sharePart);
    }

    /** What all proxies together may have saved up. */
    public double saved(int proxies) {
        return atOnce ? 0 : burst + proxies;
    }
}
