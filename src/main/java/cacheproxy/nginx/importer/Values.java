package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.HttpModel;
import cacheproxy.routes.PathKey;
import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.SplitShare;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What expressions come to: alternatives with the conditions under which each holds, the first that holds counts. */
final class Values {
    /** One value; the last of a list asks nothing more than what is asked already. */
    record Alternative(Conditions when, Expression value) {}

    /**
     * Where an expression stands.
     *
     * @param set variables that {@code set} has given a value
     * @param host the host that the request is known to be for; null: any other than those known
     */
    record Scope(Map<String, Expression> set, String host) {}

    private static final int MAX_DEPTH = 8;
    private static final int MAX_ALTERNATIVES = 2000;
    private static final Directive NOWHERE = null;

    private final HttpModel model;
    private final Report report;

    Values(HttpModel model, Report report) {
        this.model = model;
        this.report = report;
    }

    List<Alternative> resolve(Expression e, Scope scope) throws Conditions.Unable {
        return resolve(e, scope, 0);
    }

    private List<Alternative> resolve(Expression e, Scope scope, int depth) throws Conditions.Unable {
        if (depth > MAX_DEPTH) {
            throw new Conditions.Unable("variables refer to each other more than " + MAX_DEPTH + " deep");
        }
        List<Alternative> all = List.of(new Alternative(Conditions.NONE, new Expression(List.of())));
        for (Expression.Part p : e.parts()) {
            List<Alternative> these = p.variable()
                    ? variable(p.text(), scope, depth)
                    : List.of(new Alternative(Conditions.NONE, new Expression(List.of(p))));
            if (all.size() * (long) these.size() > MAX_ALTERNATIVES) {
                throw new Conditions.Unable("more than " + MAX_ALTERNATIVES + " cases");
            }
            List<Alternative> next = new ArrayList<>();
            for (Alternative a : all) {
                for (Alternative b : these) {
                    Conditions both = a.when.and(b.when);
                    if (both != null) {
                        List<Expression.Part> parts = new ArrayList<>(a.value.parts());
                        parts.addAll(b.value.parts());
                        next.add(new Alternative(both, Expression.joined(parts)));
                    }
                }
            }
            all = next;
        }
        return all;
    }

    private List<Alternative> variable(String name, Scope scope, int depth) throws Conditions.Unable {
        Expression set = scope.set.get(name);
        if (set != null) {
            return resolve(set, scope, depth + 1);
        }
        if (scope.host != null && (name.equals("host") || name.equals("http_host"))) {
            return List.of(new Alternative(Conditions.NONE, Expression.of(scope.host)));
        }
        Directive d = model.variables().get(name);
        if (d == null) {
            return List.of(new Alternative(Conditions.NONE, new Expression(List.of(new Expression.Part(true, name)))));
        }
        return switch (d.name()) {
            case "map" -> map(d, scope, depth);
            case "split_clients" -> split(d, scope, depth);
            default -> {
                report.not(d, "addresses of clients are not told by keys: the default is taken for all");
                Directive absent = d.block().stream()
                        .filter(e -> e.name().equals("default"))
                        .findFirst()
                        .orElse(NOWHERE);
                yield resolve(Expression.of(absent == null ? "" : absent.arg(0)), scope, depth + 1);
            }
        };
    }

    // ---- map

    private List<Alternative> map(Directive d, Scope scope, int depth) throws Conditions.Unable {
        report.carried(d);
        List<Alternative> all = new ArrayList<>();
        for (Alternative source : resolve(Expression.of(d.arg(0)), scope, depth + 1)) {
            Expression e = source.value;
            List<Alternative> these;
            if (e.isLiteral()) {
                these = resolve(Expression.of(lookUp(d, e.literal())), scope, depth + 1);
            } else if (e.is("uri", "document_uri", "request_uri")) {
                these = byPath(d, scope, depth);
            } else if (e.is("host", "http_host")) {
                if (d.block().stream()
                        .anyMatch(x -> x.name().startsWith("~") || x.name().contains("*"))) {
                    report.not(d, "hosts by pattern: for hosts that are named nowhere else the default is taken");
                }
                these = resolve(Expression.of(lookUp(d, "")), scope, depth + 1);
            } else {
                report.not(d, e + " is not told by keys: the default, '" + lookUp(d, "\0") + "', is taken for all");
                these = resolve(Expression.of(lookUp(d, "\0")), scope, depth + 1);
            }
            for (Alternative a : these) {
                Conditions both = source.when.and(a.when);
                if (both != null) {
                    all.add(new Alternative(both, a.value));
                }
            }
        }
        return all;
    }

    private static boolean special(Directive entry) {
        return List.of("default", "hostnames", "volatile").contains(entry.name());
    }

    private static String plain(Directive entry) {
        return entry.name().startsWith("\\") ? entry.name().substring(1) : entry.name();
    }

    /** The value for a text that is known: an equal entry, then masks, then the first pattern, then the default. */
    private static String lookUp(Directive map, String text) {
        String value = "";
        boolean hostnames = map.all("hostnames").size() > 0;
        String wild = null;
        int length = -1;
        for (Directive e : map.block()) {
            if (e.name().equals("default")) {
                value = e.arg(0);
            } else if (!special(e) && !e.name().startsWith("~") && plain(e).equalsIgnoreCase(text)) {
                return e.arg(0);
            } else if (hostnames) {
                String mask = e.name().toLowerCase(Locale.ROOT);
                String t = text.toLowerCase(Locale.ROOT);
                // Masks at the front go before those at the end; of either kind the longest counts.
                int fits = mask.startsWith("*.") && t.endsWith(mask.substring(1)) && t.length() >= mask.length()
                        ? 1000 + mask.length()
                        : mask.startsWith(".") && (t.endsWith(mask) || t.equals(mask.substring(1)))
                                ? 1000 + mask.length()
                                : mask.endsWith(".*") && t.startsWith(mask.substring(0, mask.length() - 1))
                                        ? mask.length()
                                        : -1;
                if (fits > length) {
                    length = fits;
                    wild = e.arg(0);
                }
            }
        }
        if (wild != null) {
            return wild;
        }
        for (Directive e : map.block()) {
            if (e.name().startsWith("~")) {
                boolean any = e.name().startsWith("~*");
                RegexTranslation r = RegexTranslation.of(e.name().substring(any ? 2 : 1), any);
                if (r.text() != null && new cacheproxy.routes.KeyPattern(r.text()).matches(text)) {
                    return e.arg(0);
                }
            }
        }
        return value;
    }

    private List<Alternative> byPath(Directive map, Scope scope, int depth) throws Conditions.Unable {
        List<Alternative> all = new ArrayList<>();
        for (Directive e : map.block()) {
            if (!special(e) && !e.name().startsWith("~")) {
                // Texts are compared without regard to case, and to what their escapes stand for.
                String pattern = "(?i)^" + RegexTranslation.quoted(PathKey.encodePercent(plain(e))) + "$";
                add(all, Conditions.pattern(pattern), e.arg(0), scope, depth);
            }
        }
        for (Directive e : map.block()) {
            if (e.name().startsWith("~")) {
                boolean any = e.name().startsWith("~*");
                RegexTranslation r = RegexTranslation.of(e.name().substring(any ? 2 : 1), any);
                if (r.text() == null) {
                    report.not(
                            map,
                            "line " + e.at().line() + ", " + e.name() + " can't be expressed (" + r.why()
                                    + "): its requests take the next value that matches");
                } else {
                    add(all, Conditions.pattern(r.text()), e.arg(0), scope, depth);
                }
            }
        }
        Directive absent = map.last("default");
        add(all, Conditions.NONE, absent == null ? "" : absent.arg(0), scope, depth);
        return all;
    }

    private void add(List<Alternative> all, Conditions when, String value, Scope scope, int depth)
            throws Conditions.Unable {
        for (Alternative a : resolve(Expression.of(value), scope, depth + 1)) {
            Conditions both = when.and(a.when);
            if (both != null) {
                all.add(new Alternative(both, a.value));
            }
        }
    }

    // ---- split_clients

    private List<Alternative> split(Directive d, Scope scope, int depth) throws Conditions.Unable {
        String by = placeBy(Expression.of(d.arg(0)));
        List<Alternative> all = new ArrayList<>();
        if (by == null) {
            Directive rest = d.block().stream()
                    .filter(e -> e.name().equals("*"))
                    .findFirst()
                    .orElse(
                            d.block().isEmpty()
                                    ? NOWHERE
                                    : d.block().get(d.block().size() - 1));
            String value = rest == null ? "" : rest.arg(0);
            report.not(d, d.arg(0) + " is not told by keys: nothing is split, '" + value + "' is taken for all");
            return resolve(Expression.of(value), scope, depth + 1);
        }
        report.carried(d);
        PlacementTemplate text = new PlacementTemplate(by);
        long last = 0;
        String rest = "";
        for (Directive e : d.block()) {
            if (e.name().equals("*")) {
                rest = e.arg(0);
                continue;
            }
            long share = hundredths(e.name());
            if (share < 0) {
                report.not(d, "nginx refuses this: invalid percent value \"" + e.name() + "\"");
                continue;
            }
            // nginx's own arithmetic, so that the bounds are the same to the last key.
            long to = Math.min(SplitShare.HASH_RANGE - 1, last + share * 0xFFFFFFFFL / 10_000);
            if (to > last) {
                add(all, Conditions.share(text, last, to), e.arg(0), scope, depth);
            }
            last = to;
        }
        add(all, Conditions.NONE, rest, scope, depth);
        return all;
    }

    private static long hundredths(String percent) {
        if (!percent.matches("[0-9]{1,3}(\\.[0-9]{1,2})?%")) {
            return -1;
        }
        return new java.math.BigDecimal(percent.substring(0, percent.length() - 1))
                .movePointRight(2)
                .longValueExact();
    }

    /** What a placement or split hashes, in the terms of routes; null where keys do not tell it. */
    static String placeBy(Expression e) {
        StringBuilder out = new StringBuilder();
        for (Expression.Part p : e.parts()) {
            if (!p.variable()) {
                out.append(p.text().replace("$", "$$"));
                continue;
            }
            String name = switch (p.text()) {
                case "uri", "document_uri" -> "uri";
                case "host", "http_host" -> "host";
                case "request_uri", "args", "query_string", "is_args" -> p.text();
                default -> p.text().startsWith("arg_") && p.text().length() > 4 ? p.text() : null;
            };
            if (name == null) {
                return null;
            }
            out.append("${").append(name).append('}');
        }
        try {
            return new PlacementTemplate(out.toString()).text();
        } catch (IllegalArgumentException tooLong) {
            return null;
        }
    }

    /** Whether an expression, as far as variables are known, asks for the host. */
    boolean asksHost(String text) {
        return asks(Expression.of(text), 0, List.of("host", "http_host"));
    }

    /** Whether it asks for anything of the query. */
    boolean asksQuery(String text) {
        return asks(Expression.of(text), 0, List.of("request_uri", "args", "query_string", "is_args"));
    }

    private boolean asks(Expression e, int depth, List<String> names) {
        for (Expression.Part p : e.parts()) {
            Directive d = p.variable() ? model.variables().get(p.text()) : null;
            if ((p.variable()
                            && (names.contains(p.text())
                                    || (names.contains("args") && p.text().startsWith("arg_"))))
                    || (d != null && depth < MAX_DEPTH && asks(Expression.of(d.arg(0)), depth + 1, names))) {
                return true;
            }
        }
        return false;
    }
}
