package cacheproxy.nginx.importer;

import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.SplitShare;
import java.util.ArrayList;
import java.util.List;

/**
 * What a route requires of a request in addition to an exact key or prefix.
 *
 * @param patterns patterns that must all match the path
 * @param write true: only writes; false: only reads; null: reads and writes
 * @param share the share of keys that the route takes; null: all keys
 */
record Conditions(List<String> patterns, Boolean write, SplitShare share) {
    /** The maximum number of patterns of a route. */
    static final int MAX_PATTERNS = 4;

    /** Conditions that every request meets. */
    static final Conditions NONE = new Conditions(List.of(), null, null);

    /** Requires that the path matches a pattern. */
    static Conditions pattern(String pattern) {
        return new Conditions(List.of(pattern), null, null);
    }

    /** Requires a write, or a read if {@code write} is false. */
    static Conditions write(boolean write) {
        return new Conditions(List.of(), write, null);
    }

    /** Requires that the hash of a template is at least {@code fromHash} and less than {@code toHash}. */
    static Conditions share(PlacementTemplate hashed, long fromHash, long toHash) {
        return new Conditions(List.of(), null, new SplitShare(hashed, fromHash, toHash));
    }

    /**
     * Returns conditions that require both; null if no request meets both.
     *
     * @throws UnsupportedDirectiveException if one route can't require both
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

    /**
     * Returns these conditions with a pattern moved to the front, as a route takes its groups from its first pattern.
     */
    Conditions withFirstPattern(String pattern) {
        List<String> reordered = new ArrayList<>(patterns);
        reordered.remove(pattern);
        reordered.add(0, pattern);
        return new Conditions(reordered, write, share);
    }
}
