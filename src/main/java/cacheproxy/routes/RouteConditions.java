package cacheproxy.routes;

import java.util.List;
import java.util.Set;

/**
 * The conditions that a request must meet for a route. At most one of {@code exact} and {@code prefix} is set. A
 * condition that is null or an empty collection is met by every request.
 *
 * @param listeners names of listeners
 * @param host name of the host that the request must be for
 * @param exact the whole key
 * @param prefix what the key must begin with
 * @param patterns patterns that must all match the key
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

    /**
     * The kinds of conditions on the key. Routes with the same order value are tried in the sequence of these
     * constants.
     */
    private enum Specificity {
        EXACT,
        PREFIX,
        PATTERN,
        ANY_KEY
    }

    /** Returns these conditions with this whole key as the condition on the key. */
    public RouteConditions withExact(String key) {
        return new RouteConditions(listeners, host, key, prefix, patterns, classes, tenants, write, share);
    }

    /** Returns these conditions with this prefix of the key. */
    public RouteConditions withPrefix(String keyPrefix) {
        return new RouteConditions(listeners, host, exact, keyPrefix, patterns, classes, tenants, write, share);
    }

    /** Returns these conditions with this one pattern. */
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

    /** Compares by specificity; among prefixes, the longer one comes first. */
    static int compare(RouteConditions left, RouteConditions right) {
        int bySpecificity = left.specificity().compareTo(right.specificity());
        return bySpecificity != 0 || left.prefix == null
                ? bySpecificity
                : Integer.compare(right.prefix.length(), left.prefix.length());
    }

    /** Returns whether a request meets all conditions except those on the host, the exact key and the prefix. */
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
        // By index, because this runs for each request and an iterator would be garbage.
        for (int i = 0; i < patterns.size(); i++) {
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
     * Returns whether every request that meets the other conditions also meets these; true only if that is certain.
     * Patterns are compared by their text alone.
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
