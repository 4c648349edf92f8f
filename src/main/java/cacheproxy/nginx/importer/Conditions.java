package cacheproxy.nginx.importer;

import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.SplitShare;
import java.util.ArrayList;
import java.util.List;

/**
 * What a route requires of a request beyond its exact key or prefix.
 *
 * @param patterns patterns that must all match the path
 * @param write whether the request is a write; null: reads and writes
 * @param share the share of keys; null: all
 */
record Conditions(List<String> patterns, Boolean write, SplitShare share) {
    /** The most patterns of a route. */
    static final int MAX_PATTERNS = 4;

    /** No condition. */
    static final Conditions NONE = new Conditions(List.of(), null, null);

    /** One pattern. */
    static Conditions pattern(String pattern) {
        return new Conditions(List.of(pattern), null, null);
    }

    /** Writes only, or reads only. */
    static Conditions write(boolean write) {
        return new Conditions(List.of(), write, null);
    }

    /** The keys whose hash of a template is from a bound, included, to a bound, excluded. */
    static Conditions share(PlacementTemplate hashed, long fromHash, long toHash) {
        return new Conditions(List.of(), null, new SplitShare(hashed, fromHash, toHash));
    }

    /**
     * Both conditions; null if no request meets both.
     *
     * @throws UnsupportedDirectiveException if one route can't have both
     */
    Conditions and(Conditions other) throws UnsupportedDirectiveException {
        if (write != null && other.write != null && !write.equals(other.write)) {
            return null;
        }
        SplitShare bothShares = share == null ? other.share : share;
        if (share != null && other.share != null) {
            bothShares = intersection(share, other.share);
            if (bothShares == null) {
                return null;
            }
        }
        List<String> allPatterns = new ArrayList<>(patterns);
        other.patterns.stream()
                .filter(pattern -> !allPatterns.contains(pattern))
                .forEach(allPatterns::add);
        if (allPatterns.size() > MAX_PATTERNS) {
            throw new UnsupportedDirectiveException("more than " + MAX_PATTERNS + " patterns at once");
        }
        return new Conditions(allPatterns, write == null ? other.write : write, bothShares);
    }

    private static SplitShare intersection(SplitShare left, SplitShare right) throws UnsupportedDirectiveException {
        if (!left.template().equals(right.template())) {
            throw new UnsupportedDirectiveException("two splits at once");
        }
        long fromHash = Math.max(left.fromHash(), right.fromHash());
        long toHash = Math.min(left.toHash(), right.toHash());
        return fromHash >= toHash ? null : new SplitShare(left.template(), fromHash, toHash);
    }

    /** The same with a pattern in front: a route takes its groups from its first pattern. */
    Conditions withFirstPattern(String pattern) {
        List<String> reordered = new ArrayList<>(patterns);
        reordered.remove(pattern);
        reordered.add(0, pattern);
        return new Conditions(reordered, write, share);
    }
}
