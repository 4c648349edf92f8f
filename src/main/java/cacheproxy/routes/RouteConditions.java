package cacheproxy.routes;

import java.util.List;
import java.util.Set;

/**
 * What a request must meet for a route. Of {@code exact} and {@code prefix} at most one is set; nulls and empty
 * collections are met by every request.
 *
 * @param listeners names of listeners
 * @param host name of the host that the request must be for
 * @param exact the whole key
 * @param prefix what the key must begin with
 * @param patterns all must be found in the key
 * @param classes indexes of service classes
 * @param tenants indexes of tenants
 * @param write true: writes only; false: reads only
 * @param share the share of traffic that the request must belong to
 */
public record RouteConditions(
        Set<String> listeners,
        String host,
        String exact,
        String prefix,
        List<KeyPattern> patterns,
        Set<Integer> classes,
        Set<Integer> tenants,
        Boolean write,
        TrafficShare share) {
    /** Met by every request. */
    public static final RouteConditions NONE =
            new RouteConditions(Set.of(), null, null, null, List.of(), Set.of(), Set.of(), null, null);

    /** The kinds of conditions on the key; routes of one order are tried in this order. */
    private enum Specificity {
        EXACT,
        PREFIX,
        PATTERN,
        ANY_KEY
    }

    /** These conditions, for this whole key. */
    public RouteConditions withExact(String key) {
        return new RouteConditions(listeners, host, key, prefix, patterns, classes, tenants, write, share);
    }

    /** These conditions, for keys with this prefix. */
    public RouteConditions withPrefix(String keyPrefix) {
        return new RouteConditions(listeners, host, exact, keyPrefix, patterns, classes, tenants, write, share);
    }

    /** These conditions, for keys in which this pattern is found. */
    public RouteConditions withPattern(KeyPattern pattern) {
        return new RouteConditions(listeners, host, exact, prefix, List.of(pattern), classes, tenants, write, share);
    }

    private Specificity specificity() {
        if (exact != null) {
            return Specificity.EXACT;
        }
        if (prefix != null) {
            return Specificity.PREFIX;
        }
        return patterns.isEmpty() ? Specificity.ANY_KEY : Specificity.PATTERN;
    }

    /** Compares by specificity and, among prefixes, the longer first. */
    static int compare(RouteConditions left, RouteConditions right) {
        int bySpecificity = left.specificity().compareTo(right.specificity());
        return bySpecificity != 0 || left.prefix == null
                ? bySpecificity
                : Integer.compare(right.prefix.length(), left.prefix.length());
    }

    /** Whether a request meets all conditions but those on the host, the exact key and the prefix. */
    boolean matchesBeyondIndex(RouteInput input) {
        return matchesAttributes(input) && matchesPatterns(input.key()) && (share == null || share.contains(input));
    }

    private boolean matchesAttributes(RouteInput input) {
        return (write == null || write == input.write())
                && (classes.isEmpty() || classes.contains(input.serviceClass()))
                && (tenants.isEmpty() || tenants.contains(input.tenant()))
                && (listeners.isEmpty() || listeners.contains(input.listener()));
    }

    private boolean matchesPatterns(String key) {
        for (int i = 0; i < patterns.size(); i++) { // by index: a request's way, and an iterator would be garbage
            if (!patterns.get(i).matches(key)) {
                return false;
            }
        }
        return true;
    }

    /** Describes the first condition that a request for a host does not meet; null if it meets all. */
    String mismatch(RouteInput input, String inputHost) {
        if (host != null && !host.equals(inputHost)) {
            return inputHost == null ? "no host matches it" : "it is for host " + inputHost;
        }
        String keyMismatch = keyMismatch(input.key());
        if (keyMismatch != null) {
            return keyMismatch;
        }
        String attributeMismatch = attributeMismatch(input);
        if (attributeMismatch != null) {
            return attributeMismatch;
        }
        return share == null || share.contains(input) ? null : share.mismatch(input);
    }

    private String keyMismatch(String key) {
        if (exact != null && !exact.equals(key)) {
            return "key is not " + exact;
        }
        if (prefix != null && !key.startsWith(prefix)) {
            return "key does not begin with " + prefix;
        }
        for (KeyPattern pattern : patterns) {
            if (!pattern.matches(key)) {
                return "key does not match " + pattern.text();
            }
        }
        return null;
    }

    private String attributeMismatch(RouteInput input) {
        if (write != null && write != input.write()) {
            return write ? "not a write" : "not a read";
        }
        if (!classes.isEmpty() && !classes.contains(input.serviceClass())) {
            return "another class";
        }
        if (!tenants.isEmpty() && !tenants.contains(input.tenant())) {
            return "another tenant";
        }
        return listeners.isEmpty() || listeners.contains(input.listener()) ? null : "another listener";
    }

    /**
     * Whether every request that meets the other conditions meets these too; true only where that is certain. Patterns
     * are compared by their text alone.
     */
    boolean covers(RouteConditions other) {
        return (host == null || host.equals(other.host))
                && coversKeys(other)
                && (write == null || write.equals(other.write))
                && covers(classes, other.classes)
                && covers(tenants, other.tenants)
                && covers(listeners, other.listeners)
                && (share == null || share.covers(other.share));
    }

    private boolean coversKeys(RouteConditions other) {
        boolean coversPrefix = prefix == null
                || (other.prefix != null && other.prefix.startsWith(prefix))
                || (other.exact != null && other.exact.startsWith(prefix));
        return (exact == null || exact.equals(other.exact))
                && coversPrefix
                && patterns.stream().allMatch(pattern -> covers(pattern, other));
    }

    private static boolean covers(KeyPattern pattern, RouteConditions other) {
        return (other.exact != null && pattern.matches(other.exact))
                || other.patterns.stream()
                        .anyMatch(otherPattern -> otherPattern.text().equals(pattern.text()));
    }

    private static <T> boolean covers(Set<T> all, Set<T> some) {
        return all.isEmpty() || (!some.isEmpty() && all.containsAll(some));
    }
}
