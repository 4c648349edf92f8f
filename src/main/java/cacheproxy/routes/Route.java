package cacheproxy.routes;

import java.util.List;
import java.util.Set;

/**
 * What a request must be like, and what becomes of it. Of {@code exact} and {@code prefix} at most one is set; empty
 * sets and nulls ask for nothing.
 *
 * @param order routes of a lower order are looked at first
 * @param position its place in the file
 * @param host name of the host that the request must be for; null: any
 * @param patterns all must be found in the key
 * @param write true: writes alone, false: reads alone, null: both
 * @param classes indexes of classes
 * @param tenants indexes of tenants
 * @param placeBy what a placement hashes of these requests; null: what the pool says
 * @param action what becomes of the request
 */
public record Route(
        String name,
        int order,
        int position,
        Set<String> listeners,
        String host,
        String exact,
        String prefix,
        List<KeyPattern> patterns,
        Set<Integer> classes,
        Set<Integer> tenants,
        Boolean write,
        TrafficShare share,
        KeyRewrite rewrite,
        PlacementTemplate placeBy,
        Action action) {

    /** One that is for any host, with one pattern or none. */
    public Route(
            String name,
            int order,
            int position,
            Set<String> listeners,
            String exact,
            String prefix,
            KeyPattern pattern,
            Set<Integer> classes,
            Set<Integer> tenants,
            Boolean write,
            TrafficShare share,
            KeyRewrite rewrite,
            Action action) {
        this(
                name,
                order,
                position,
                listeners,
                null,
                exact,
                prefix,
                pattern == null ? List.of() : List.of(pattern),
                classes,
                tenants,
                write,
                share,
                rewrite,
                null,
                action);
    }

    /** What a route does with a request. */
    public sealed interface Action permits ToPools, Refuse, Fail {}

    /** To the first of these pools; each next one takes what the one before it has given up. */
    public record ToPools(List<String> pools) implements Action {}

    /** Turned away at once, with a time to come back in milliseconds. */
    public record Refuse(double afterMs) implements Action {}

    /** Failed at once. */
    public record Fail() implements Action {}

    /** Routes of one order: exact keys, prefixes from the longest, patterns, all others. */
    int rank() {
        return exact != null ? 0 : prefix != null ? 1 : !patterns.isEmpty() ? 2 : 3;
    }

    /** Whether it is looked at before another: its order, rank, prefix length and place in the file. */
    static int compare(Route a, Route b) {
        int c = Integer.compare(a.order, b.order);
        c = c != 0 ? c : Integer.compare(a.rank(), b.rank());
        c = c != 0 || a.prefix == null ? c : Integer.compare(b.prefix.length(), a.prefix.length());
        return c != 0 ? c : Integer.compare(a.position, b.position);
    }

    /** All but the host and the key's exact text or prefix, by which it has been found. */
    boolean fits(RouteInput s) {
        if ((write != null && write != s.write())
                || (!classes.isEmpty() && !classes.contains(s.serviceClass()))
                || (!tenants.isEmpty() && !tenants.contains(s.tenant()))
                || (!listeners.isEmpty() && !listeners.contains(s.listener()))) {
            return false;
        }
        for (int i = 0; i < patterns.size(); i++) {
            if (!patterns.get(i).matches(s.key())) {
                return false;
            }
        }
        return share == null || share.has(s);
    }

    /** The first condition that the request does not meet, in words; null if it meets all. */
    String misfit(RouteInput s, String itsHost) {
        if (host != null && !host.equals(itsHost)) {
            return itsHost == null ? "no host is for it" : "it is for host " + itsHost;
        }
        if (exact != null && !exact.equals(s.key())) {
            return "key is not " + exact;
        }
        if (prefix != null && !s.key().startsWith(prefix)) {
            return "key does not begin with " + prefix;
        }
        for (KeyPattern p : patterns) {
            if (!p.matches(s.key())) {
                return "key does not match " + p.text();
            }
        }
        if (write != null && write != s.write()) {
            return write ? "not a write" : "not a read";
        }
        if (!classes.isEmpty() && !classes.contains(s.serviceClass())) {
            return "another class";
        }
        if (!tenants.isEmpty() && !tenants.contains(s.tenant())) {
            return "another tenant";
        }
        if (!listeners.isEmpty() && !listeners.contains(s.listener())) {
            return "another listener";
        }
        return share == null || share.has(s) ? null : share.without(s);
    }

    /** The key that its pools get; null if none comes of it that servers would take. */
    public String poolKey(RouteInput s) {
        if (s.sent() == null) {
            return rewrite.apply(s.key());
        }
        String path = rewrite.apply(s.key());
        String key = path == null ? null : s.sent().with(path);
        return key != null && KeyRewrite.legal(key) ? key : null;
    }

    /** Whether this one, looked at first, leaves nothing for the other. Patterns are compared by their text alone. */
    boolean covers(Route other) {
        return (host == null || host.equals(other.host))
                && (exact == null || exact.equals(other.exact))
                && (prefix == null
                        || (other.prefix != null && other.prefix.startsWith(prefix))
                        || (other.exact != null && other.exact.startsWith(prefix)))
                && patterns.stream()
                        .allMatch(p -> (other.exact != null && p.matches(other.exact))
                                || other.patterns.stream()
                                        .anyMatch(o -> o.text().equals(p.text())))
                && (write == null || write.equals(other.write))
                && covers(classes, other.classes)
                && covers(tenants, other.tenants)
                && covers(listeners, other.listeners)
                && (share == null || share.covers(other.share));
    }

    private static <T> boolean covers(Set<T> all, Set<T> some) {
        return all.isEmpty() || (!some.isEmpty() && all.containsAll(some));
    }
}
