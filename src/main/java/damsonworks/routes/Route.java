package damsonworks.routes;

import java.util.List;
import java.util.Set;

/**
 * What a request must be like, and what becomes of it. Of {@code exact}, {@code prefix} and {@code pattern} at most
 * one is set; empty sets and nulls ask for nothing.
 *
 * @param order routes of a lower order are looked at first
 * @param position its place in the file
 * @param write true: writes alone, false: reads alone, null: both
 * @param classes indexes of classes
 * @param tenants indexes of tenants
 * @param action what becomes of the request
 */
public record Route(String name, int order, int position, Set<String> listeners, String exact, String prefix,
        KeyPattern pattern, Set<Integer> classes, Set<Integer> tenants, Boolean write, KeyShare share,
        KeyRewrite rewrite, Action action) {

    /** What a route does with a request. */
    public sealed interface Action permits ToPools, Refuse, Fail { }

    /** To the first of these pools; each next one takes what the one before it has given up. */
    public record ToPools(List<String> pools) implements Action { }

    /** Turned away at once, with a time to come back in milliseconds. */
    public record Refuse(double afterMs) implements Action { }

    /** Failed at once. */
    public record Fail() implements Action { }

    /** Routes of one order: exact keys, prefixes from the longest, patterns, all others. */
    int rank() {
        return exact != null ? 0 : prefix != null ? 1 : pattern != null ? 2 : 3;
    }

    /** Whether it is looked at before another: its order, rank, prefix length and place in the file. */
    static int compare(Route a, Route b) {
        int c = Integer.compare(a.order, b.order);
        c = c != 0 ? c : Integer.compare(a.rank(), b.rank());
        c = c != 0 || a.prefix == null ? c : Integer.compare(b.prefix.length(), a.prefix.length());
        return c != 0 ? c : Integer.compare(a.position, b.position);
    }

    /** All but the key's text. */
    boolean fits(Subject s) {
        return (write == null || write == s.write()) && (classes.isEmpty() || classes.contains(s.serviceClass()))
                && (tenants.isEmpty() || tenants.contains(s.tenant()))
                && (listeners.isEmpty() || listeners.contains(s.listener())) && (share == null || share.has(s.key()));
    }

    /** The first condition that the request does not meet, in words; null if it meets all. */
    String misfit(Subject s) {
        if (exact != null && !exact.equals(s.key())) {
            return "key is not " + exact;
        }
        if (prefix != null && !s.key().startsWith(prefix)) {
            return "key does not begin with " + prefix;
        }
        if (pattern != null && !pattern.matches(s.key())) {
            return "key does not match " + pattern.text();
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
        if (share != null && !share.has(s.key())) {
            return "key is outside the share, at " + KeyShare.place(share.salt(), s.key()) + " of " + KeyShare.ALL;
        }
        return null;
    }

    /** Whether this one, looked at first, leaves nothing for the other. Patterns are compared by their text alone. */
    boolean covers(Route other) {
        boolean key = rank() == 3 || exact != null && exact.equals(other.exact)
                || prefix != null && (other.prefix != null && other.prefix.startsWith(prefix)
                        || other.exact != null && other.exact.startsWith(prefix))
                || pattern != null && (other.pattern != null && pattern.text().equals(other.pattern.text())
                        || other.exact != null && pattern.matches(other.exact));
        return key && (write == null || write.equals(other.write)) && covers(classes, other.classes)
                && covers(tenants, other.tenants) && covers(listeners, other.listeners)
                && (share == null || share.covers(other.share));
    }

    private static <T> boolean covers(Set<T> all, Set<T> some) {
        return all.isEmpty() || !some.isEmpty() && all.containsAll(some);
    }
}
