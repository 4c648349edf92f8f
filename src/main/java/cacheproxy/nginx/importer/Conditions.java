package cacheproxy.nginx.importer;

import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.SplitShare;
import java.util.ArrayList;
import java.util.List;

/**
 * What a route asks beyond its exact key or prefix.
 *
 * @param patterns all must be found
 * @param write null: reads and writes
 * @param share null: all
 */
record Conditions(List<String> patterns, Boolean write, SplitShare share) {
    static final int MAX_PATTERNS = 4;
    static final Conditions NONE = new Conditions(List.of(), null, null);

    static Conditions pattern(String text) {
        return new Conditions(List.of(text), null, null);
    }

    static Conditions write(boolean write) {
        return new Conditions(List.of(), write, null);
    }

    static Conditions share(PlacementTemplate by, long from, long to) {
        return new Conditions(List.of(), null, new SplitShare(by, from, to));
    }

    /** Thrown where routes can't say both at once. */
    static final class Unable extends Exception {
        private static final long serialVersionUID = 1L;

        Unable(String why) {
            super(why);
        }
    }

    /** Both; null if nothing meets both. */
    Conditions and(Conditions other) throws Unable {
        if (write != null && other.write != null && !write.equals(other.write)) {
            return null;
        }
        SplitShare both = share == null ? other.share : share;
        if (share != null && other.share != null) {
            if (!share.template().equals(other.share.template())) {
                throw new Unable("two splits at once");
            }
            long from = Math.max(share.fromHash(), other.share.fromHash());
            long to = Math.min(share.toHash(), other.share.toHash());
            if (from >= to) {
                return null;
            }
            both = new SplitShare(share.template(), from, to);
        }
        List<String> all = new ArrayList<>(patterns);
        other.patterns.stream().filter(p -> !all.contains(p)).forEach(all::add);
        if (all.size() > MAX_PATTERNS) {
            throw new Unable("more than " + MAX_PATTERNS + " patterns at once");
        }
        return new Conditions(all, write == null ? other.write : write, both);
    }

    /** The same with a pattern in front: groups are taken from the first. */
    Conditions first(String pattern) {
        List<String> all = new ArrayList<>(patterns);
        all.remove(pattern);
        all.add(0, pattern);
        return new Conditions(all, write, share);
    }
}
