package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.importer.Values.Alternative;
import cacheproxy.nginx.importer.Values.Scope;
import cacheproxy.nginx.model.HttpModel;
import cacheproxy.nginx.model.Location;
import cacheproxy.nginx.model.LocationSearch;
import cacheproxy.nginx.model.ServerBlock;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.PathKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Makes routes of one server's directives: follows nginx's phases (the server's rewriting, the search for a location,
 * that location's rewriting, what it passes requests to), and where a directive depends on the request, goes both ways
 * with what each way asks.
 */
final class RouteTranslator {
    private static final Set<String> REWRITING = Set.of("set", "if", "rewrite", "return", "break");
    /** nginx gives up after so many changes of a request's path. */
    private static final int MAX_CYCLES = 10;

    private static final List<String> METHODS = List.of("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH");

    private final HttpModel model;
    private final Values values;
    private final PoolTranslator pools;
    private final Report report;
    private final List<RouteSpec> out;
    private final Map<String, Integer> names = new HashMap<>();

    // The server that is being translated.
    private ServerBlock server;
    private String host;
    private String hostLiteral;
    private LocationSearch search;
    /** {@code error_page}s that locations inherit. */
    private List<Directive> errorPages = List.of();

    private final IdentityHashMap<Location, RegexTranslation> patterns = new IdentityHashMap<>();
    private int order;

    RouteTranslator(HttpModel model, Values values, PoolTranslator pools, Report report, List<RouteSpec> out) {
        this.model = model;
        this.values = values;
        this.pools = pools;
        this.report = report;
        this.out = out;
    }

    /** Where routes go: their order, and the exact path or prefix that they ask for. */
    private record Place(int order, String exact, String prefix) {}

    /** What comes after a path has been made anew. */
    private enum Next {
        /** A location is to be searched for it. */
        SEARCH,
        /** That has been done. */
        FOUND,
        /** The location stays the one it was in. */
        STAYS
    }

    /**
     * A path that a {@code rewrite} has made.
     *
     * @param pattern whose groups it takes
     * @param path literal pieces and groups
     */
    private record Rewritten(String pattern, Expression path, Next next) {
        Rewritten next(Next n) {
            return new Rewritten(pattern, path, n);
        }
    }

    /**
     * How far a request has come.
     *
     * @param when what has been asked of it beyond the place
     * @param captures pattern of the groups that {@code $1} means; null: none
     * @param handler what an {@code if} has put in place of the location's own; null: nothing
     */
    private record Walk(
            Place place,
            Conditions when,
            Rewritten rewritten,
            Map<String, Expression> set,
            Location location,
            String captures,
            Directive handler,
            int cycles) {
        Walk when(Conditions c) {
            return new Walk(place, c, rewritten, set, location, captures, handler, cycles);
        }

        Walk set(String name, Expression value) {
            Map<String, Expression> more = new HashMap<>(set);
            more.put(name, value);
            return new Walk(place, when, rewritten, more, location, captures, handler, cycles);
        }

        Walk captures(String pattern) {
            return new Walk(place, when, rewritten, set, location, pattern, handler, cycles);
        }

        Walk handler(Directive d) {
            return new Walk(place, when, rewritten, set, location, captures, d, cycles);
        }

        Walk rewritten(Rewritten r) {
            return new Walk(place, when, r, set, location, captures, handler, cycles);
        }

        Walk in(Location l, String pattern) {
            return new Walk(place, when, rewritten, set, l, pattern, null, cycles + 1);
        }
    }

    /**
     * Translates a server's requests.
     *
     * @param hostName the host of the file that they are for
     * @param literal the one name that they have; null: others than are known
     */
    void translate(ServerBlock s, String hostName, String literal) {
        server = s;
        host = hostName;
        hostLiteral = literal;
        order = 0;
        report.carried(s.directive());
        errorPages = s.directive().all("error_page");
        if (errorPages.isEmpty()) {
            errorPages = model.http().stream()
                    .filter(d -> d.name().equals("error_page"))
                    .toList();
        }
        search = new LocationSearch(
                s.locations(),
                l -> l.directive().last("proxy_pass") != null || l.directive().last("memcached_pass") != null);
        search.unreachable()
                .forEach(l -> report.add(
                        l.directive(),
                        Report.Level.LEFT,
                        "a longer prefix outside of its own location has all of its requests, in nginx too"));
        Walk start = new Walk(null, Conditions.NONE, null, Map.of(), null, null, null, 0);
        go(rewriting(s.directive()), start);
    }

    private static List<Directive> rewriting(Directive block) {
        return block.block().stream().filter(d -> REWRITING.contains(d.name())).toList();
    }

    private Scope scope(Walk w) {
        return new Scope(w.set, hostLiteral);
    }

    // ---- rewriting

    /** Goes on with these directives and with what follows them. */
    private void go(List<Directive> todo, Walk w) {
        if (todo.isEmpty()) {
            rewritingDone(w);
            return;
        }
        Directive d = todo.get(0);
        List<Directive> rest = todo.subList(1, todo.size());
        try {
            switch (d.name()) {
                case "set" -> {
                    report.carried(d);
                    String name = d.arg(0).startsWith("$") ? d.arg(0).substring(1) : d.arg(0);
                    go(rest, w.set(name, substituted(Expression.of(d.arg(1)), w.set)));
                }
                case "return" -> returned(d, w);
                case "break" -> {
                    report.carried(d);
                    rewritingDone(w.rewritten == null ? w : w.rewritten(w.rewritten.next(Next.STAYS)));
                }
                case "rewrite" -> rewrite(d, rest, w);
                case "if" -> condition(d, rest, w);
                default -> go(rest, w);
            }
        } catch (Conditions.Unable e) {
            report.not(
                    d, "can't be expressed (" + e.getMessage() + "); its requests are taken as if it were not there");
            go(rest, w);
        }
    }

    /** Variables get the values that they have now: a later {@code set} does not change this one. */
    private static Expression substituted(Expression e, Map<String, Expression> set) {
        List<Expression.Part> parts = new ArrayList<>();
        for (Expression.Part p : e.parts()) {
            Expression known = p.variable() ? set.get(p.text()) : null;
            parts.addAll(known == null ? List.of(p) : known.parts());
        }
        return Expression.joined(parts);
    }

    private void returned(Directive d, Walk w) {
        String code = d.arg(0).matches("[0-9]+") ? d.arg(0) : "302";
        boolean refuse = code.equals("503") || code.equals("429");
        switch (code.charAt(0)) {
            case '2' -> report.not(d, "nginx answers these requests itself; here they fail");
            case '3' ->
                report.not(d, "nginx redirects these requests; here they fail, so clients must ask for the other key");
            default ->
                report.changed(
                        d,
                        refuse
                                ? "these requests are refused, with a time to come back"
                                : "these requests fail, without a status");
        }
        end(w, d, refuse, code);
    }

    private void rewrite(Directive d, List<Directive> rest, Walk w) throws Conditions.Unable {
        RegexTranslation r = RegexTranslation.of(d.arg(0), false);
        if (r.text() == null) {
            report.not(d, "pattern can't be expressed (" + r.why() + "): requests are taken as if it did not match");
            go(rest, w);
            return;
        }
        if (w.rewritten != null) {
            report.not(d, "a second change of the same path can't be expressed; it is not made");
            go(rest, w);
            return;
        }
        Conditions both = w.when.and(Conditions.pattern(r.text()));
        if (both == null) {
            go(rest, w);
            return;
        }
        String to = d.arg(1);
        String flag = d.arg(2);
        Walk taken = w.when(both).captures(r.text());
        if (flag.equals("redirect") || flag.equals("permanent") || to.matches("(?i)(https?://|\\$scheme).*")) {
            report.not(d, "nginx redirects these requests; here they fail, so clients must ask for the other key");
            end(taken, d, false, "302");
        } else {
            int question = to.indexOf('?');
            if (question >= 0 && question < to.length() - 1) {
                report.changed(d, "the query that it adds is left out");
            }
            List<Alternative> path =
                    values.resolve(Expression.of(question < 0 ? to : to.substring(0, question)), scope(w));
            report.carried(d);
            Rewritten made = new Rewritten(
                    r.text(),
                    path.get(0).value(),
                    flag.equals("break") && w.location != null ? Next.STAYS : Next.SEARCH);
            if (path.size() > 1 || template(made.path, r.text()) == null) {
                report.not(d, "its path depends on more than groups of its pattern; these requests fail");
                end(taken, d, false, "500");
            } else if (flag.equals("break") || flag.equals("last")) {
                rewritingDone(taken.rewritten(made));
            } else {
                go(rest, taken.rewritten(made));
            }
        }
        if (!w.when.patterns().contains(r.text())) { // else no request is left
            go(rest, w);
        }
    }

    // ---- if

    /** What an {@code if} asks. */
    private record Asked(Conditions when, boolean negated, String captures) {}

    private void condition(Directive d, List<Directive> rest, Walk w) throws Conditions.Unable {
        List<Directive> inner = new ArrayList<>(
                d.block().stream().filter(x -> REWRITING.contains(x.name())).toList());
        Directive handler = d.last("proxy_pass");
        handler = handler != null ? handler : d.last("memcached_pass");
        inner.addAll(rest);
        String text = String.join(" ", d.args());
        String t = text.startsWith("(") && text.endsWith(")")
                ? text.substring(1, text.length() - 1).trim()
                : text;
        String[] parts = t.split("\\s+", 3);
        List<Alternative> left =
                parts[0].startsWith("$") ? values.resolve(Expression.of(parts[0]), scope(w)) : List.of();
        if (left.isEmpty() || parts.length == 2) {
            unknown(d, rest, w, t);
            return;
        }
        boolean told = left.stream().allMatch(a -> a.value().isLiteral());
        if (told) {
            report.carried(d);
            for (Alternative a : left) {
                Conditions both = w.when.and(a.when());
                Boolean holds = holds(a.value().literal(), parts, d);
                if (both != null) {
                    Walk next = w.when(both);
                    if (Boolean.TRUE.equals(holds)) {
                        go(inner, handler == null ? next : next.handler(handler));
                    } else {
                        go(rest, next);
                    }
                }
            }
            return;
        }
        Asked asked = left.size() == 1 && parts.length == 3 ? asked(left.get(0).value(), parts, d) : null;
        if (asked == null || (w.rewritten != null && !asked.when.patterns().isEmpty())) {
            unknown(d, rest, w, t);
            return;
        }
        report.carried(d);
        Conditions both = w.when.and(asked.when);
        Walk yes = handler == null ? w : w.handler(handler);
        if (both != null && asked.negated) {
            go(rest, w.when(both));
            go(inner, yes);
        } else {
            if (both != null) {
                Walk taken = yes.when(both);
                go(inner, asked.captures == null ? taken : taken.captures(asked.captures));
            }
            go(rest, w);
        }
    }

    private void unknown(Directive d, List<Directive> rest, Walk w, String text) {
        report.not(d, "keys do not tell whether (" + text + ") holds: requests are taken as if it did not");
        go(rest, w);
    }

    /** Whether a known text meets the rest of a condition; null if that can't be told. */
    private Boolean holds(String value, String[] parts, Directive d) {
        if (parts.length == 1) {
            return !value.isEmpty() && !value.equals("0");
        }
        String right = unquoted(parts[2]);
        switch (parts[1]) {
            case "=" -> {
                return value.equals(right);
            }
            case "!=" -> {
                return !value.equals(right);
            }
            case "~", "~*", "!~", "!~*" -> {
                RegexTranslation r = RegexTranslation.of(right, parts[1].endsWith("*"));
                if (r.text() == null) {
                    report.not(d, "pattern can't be expressed (" + r.why() + "): taken as if it did not match");
                    return null;
                }
                return new KeyPattern(r.text()).matches(value) != parts[1].startsWith("!");
            }
            default -> {
                return null;
            }
        }
    }

    private static String unquoted(String text) {
        boolean quotes = text.length() > 1 && "\"'".indexOf(text.charAt(0)) >= 0 && text.endsWith(text.substring(0, 1));
        return quotes ? text.substring(1, text.length() - 1) : text;
    }

    /** What a condition on the path or the method asks of routes; null if they can't. */
    private Asked asked(Expression left, String[] parts, Directive d) {
        boolean negated = parts[1].startsWith("!");
        if (left.is("request_method")) {
            List<String> fit = METHODS.stream()
                    .filter(m -> Boolean.TRUE.equals(holds(m, parts, d)))
                    .toList();
            boolean get = fit.contains("GET");
            boolean read = get || fit.contains("HEAD");
            boolean write = fit.stream().anyMatch(m -> !m.equals("GET") && !m.equals("HEAD"));
            if (read == write || (read && !get)) {
                return null;
            }
            if (fit.size() < (read ? 2 : METHODS.size() - 2)) {
                report.changed(
                        d, "keys tell reads and writes, no methods: taken for all " + (read ? "reads" : "writes"));
            }
            return new Asked(Conditions.write(write), false, null);
        }
        if (!left.is("uri", "document_uri", "request_uri")) {
            return null;
        }
        String right = unquoted(parts[2]);
        if (left.is("request_uri")) {
            report.changed(d, "held against the path, without the query");
        }
        if (parts[1].equals("=") || parts[1].equals("!=")) {
            return new Asked(
                    Conditions.pattern("^" + RegexTranslation.quoted(PathKey.encodePercent(right)) + "$"),
                    negated,
                    null);
        }
        RegexTranslation r = RegexTranslation.of(right, parts[1].endsWith("*"));
        if (r.text() == null) {
            report.not(d, "pattern can't be expressed: " + r.why());
            return null;
        }
        return new Asked(Conditions.pattern(r.text()), negated, negated ? null : r.text());
    }

    // ---- the search for a location

    private int nextOrder() {
        int o = order;
        order += 4; // the tiers of a search
        return o;
    }

    private void rewritingDone(Walk w) {
        if (w.location == null) {
            if (w.rewritten == null) {
                locations(w);
            } else {
                searchAgain(new Walk(
                        new Place(nextOrder(), null, null),
                        w.when,
                        w.rewritten,
                        w.set,
                        null,
                        w.captures,
                        null,
                        w.cycles));
            }
        } else if (w.rewritten != null && w.rewritten.next == Next.SEARCH) {
            searchAgain(w);
        } else {
            content(w);
        }
    }

    /** All of the server's locations, for the requests of this walk. */
    @SuppressWarnings("EnumOrdinal") // tiers are declared in the order in which nginx tries them
    private void locations(Walk w) {
        int base = nextOrder();
        boolean all = false;
        for (LocationSearch.Step s : search.steps()) {
            Conditions when = w.when;
            for (Location l : s.regexes()) {
                RegexTranslation r = pattern(l);
                try {
                    when = r.text() == null || when == null ? null : when.and(Conditions.pattern(r.text()));
                } catch (Conditions.Unable e) {
                    report.not(s.location().directive(), "can't be expressed: " + e.getMessage());
                    when = null;
                }
            }
            if (when == null) {
                continue;
            }
            String exact = s.exact() == null ? null : PathKey.encodePercent(s.exact());
            String prefix = s.prefix() == null ? null : PathKey.encodePercent(s.prefix());
            all |= "/".equals(prefix) && s.regexes().isEmpty();
            String text = exact != null ? exact : prefix;
            if (text != null && !KeyRewrite.isLegalKey(text)) {
                report.not(s.location().directive(), "no key is so long; nothing comes to it");
                continue;
            }
            Place place = new Place(base + s.tier().ordinal(), exact, prefix);
            String captures =
                    s.regexes().isEmpty() ? null : pattern(s.location()).text();
            Walk in = new Walk(place, when, w.rewritten, w.set, s.location(), captures, null, w.cycles);
            if (s.redirect()) {
                report.changed(
                        s.location().directive(),
                        "nginx redirects " + s.exact() + " to " + s.exact() + "/; here it fails");
                end(in, s.location().directive(), false, "301");
            } else if (s.location().directive().last("internal") != null) {
                report.changed(s.location().directive().last("internal"), "requests for it fail, without a status");
                end(in, s.location().directive(), false, "404");
            } else {
                report.carried(s.location().directive());
                go(rewriting(s.location().directive()), in);
            }
        }
        if (!all) {
            Walk none = new Walk(new Place(base + 3, null, null), w.when, null, w.set, null, null, null, 0);
            Directive files = server.directive().last("try_files"); // counts where no location does
            if (files != null) {
                tryFiles(files, none);
            } else {
                end(none, server.directive(), false, "404");
            }
        }
    }

    private RegexTranslation pattern(Location l) {
        return patterns.computeIfAbsent(l, k -> {
            RegexTranslation r = RegexTranslation.of(l.text(), l.kind() == Location.Kind.REGEX_IGNORING_CASE);
            if (r.text() == null) {
                report.not(
                        l.directive(),
                        "pattern can't be expressed (" + r.why()
                                + "): its requests go to the location that would be next");
            }
            return r;
        });
    }

    /** The search for the path that a rewrite has made. */
    private void searchAgain(Walk w) {
        Directive at = w.location == null ? server.directive() : w.location.directive();
        if (w.cycles >= MAX_CYCLES) {
            report.not(
                    at,
                    "rewrites go round; nginx fails these requests after " + MAX_CYCLES
                            + " turns, and so they do here");
            end(w, at, false, "500");
            return;
        }
        Location found = find(w.rewritten.path, at);
        if (found == null) {
            report.not(at, "where requests go whose path is made " + w.rewritten.path + " can't be told; they fail");
            end(w, at, false, "500");
            return;
        }
        report.carried(found.directive());
        go(
                rewriting(found.directive()),
                w.rewritten(w.rewritten.next(Next.FOUND))
                        .in(found, found.kind().isRegex() ? null : w.rewritten.pattern));
    }

    /** The location of all paths that an expression can make; null if that is not one. */
    private Location find(Expression path, Directive at) {
        boolean whole = path.isLiteral();
        String text = whole ? path.literal() : path.head();
        if (!text.startsWith("/")) {
            return null;
        }
        String encoded = PathKey.encodePercent(text);
        Location best = null;
        boolean patternsAsked = false;
        for (LocationSearch.Step s : search.steps()) {
            String fixed = s.exact() != null ? s.exact() : s.prefix();
            if (!whole && fixed != null && fixed.length() > text.length() && fixed.startsWith(text)) {
                return null;
            }
        }
        if (whole) {
            for (LocationSearch.Step s : search.steps()) {
                if (text.equals(s.exact())) {
                    return s.redirect() ? null : s.location();
                }
            }
        }
        // Prefixes with their own search come first in the steps, the longest of them first.
        String own = null;
        for (LocationSearch.Step s : search.steps()) {
            if (s.exact() != null
                    || (s.prefix() != null && !text.startsWith(s.prefix()))
                    || (own != null && !own.equals(s.prefix()))) {
                continue;
            }
            if (s.tier() == LocationSearch.Tier.OWN_SEARCH) {
                own = s.prefix();
            }
            if (s.regexes().isEmpty()) {
                best = best == null || s.prefix().length() > best.text().length() ? s.location() : best;
            } else if (whole) {
                boolean all = s.regexes().stream()
                        .allMatch(l -> pattern(l).text() != null
                                && new KeyPattern(pattern(l).text()).matches(encoded));
                if (all) {
                    return s.location();
                }
            } else {
                patternsAsked = true;
            }
        }
        if (patternsAsked && best != null) {
            report.not(
                    at,
                    "paths made " + path + " go to location " + best.text()
                            + "; those that a pattern location would take go astray");
        }
        return best;
    }

    // ---- what a location does

    private void content(Walk w) {
        Directive block = w.location.directive();
        Directive limit = block.last("limit_except");
        Walk walk = w;
        if (limit != null && limit.block() != null) {
            boolean denies = limit.all("deny").stream().anyMatch(x -> x.arg(0).equals("all"));
            boolean writesToo = limit.args().stream().anyMatch(m -> !m.equals("GET") && !m.equals("HEAD"));
            if (denies && !writesToo) {
                report.changed(limit, "writes fail here; exceptions within it do not count");
                Conditions writes = and(w.when, Conditions.write(true), limit);
                if (writes != null) {
                    end(w.when(writes), limit, false, "403");
                }
                Conditions reads = and(w.when, Conditions.write(false), limit);
                if (reads == null) {
                    return;
                }
                walk = w.when(reads);
            } else {
                report.not(limit, "nobody is turned away by it here");
            }
        }
        Directive files = block.last("try_files");
        if (files != null && w.handler == null) {
            tryFiles(files, walk);
            return;
        }
        Directive pass = w.handler != null ? w.handler : block.last("proxy_pass");
        Directive memcached = block.last("memcached_pass");
        if (pass == null && memcached != null) {
            pass = memcached;
        }
        if (pass != null && pass.name().equals("memcached_pass")) {
            report.changed(pass, "the key is the path, whatever $memcached_key is set to");
            to(pass, walk, Expression.of("http://" + pass.arg(0)), false);
        } else if (pass != null) {
            report.carried(pass);
            to(pass, walk, Expression.of(pass.arg(0)), true);
        } else {
            Directive other = block.block().stream()
                    .filter(x -> x.name().endsWith("_pass"))
                    .findFirst()
                    .orElse(null);
            report.not(
                    other != null ? other : block,
                    other != null
                            ? "of a protocol or program that is not spoken here; these requests fail"
                            : "served from files or by a module, which are not here; these requests fail");
            end(walk, block, false, "404");
        }
    }

    private Conditions and(Conditions a, Conditions b, Directive at) {
        try {
            return a.and(b);
        } catch (Conditions.Unable e) {
            report.not(at, "can't be expressed: " + e.getMessage());
            return null;
        }
    }

    private void tryFiles(Directive d, Walk w) {
        String last = d.args().isEmpty() ? "" : d.args().get(d.args().size() - 1);
        if (last.startsWith("@")) {
            Location named = named(last);
            if (named != null && w.cycles < MAX_CYCLES) {
                report.changed(d, "there are no files here: all requests go to " + last);
                report.carried(named.directive());
                go(rewriting(named.directive()), w.in(named, null));
                return;
            }
            report.not(d, "there is no location " + last + "; these requests fail");
        } else if (last.startsWith("=")) {
            report.not(d, "there are no files here: these requests fail");
        } else {
            int question = last.indexOf('?');
            Expression path = Expression.of(question < 0 ? last : last.substring(0, question));
            if (path.isLiteral() && w.cycles < MAX_CYCLES) {
                report.changed(d, "there are no files here: all requests go to " + path);
                searchAgain(w.rewritten(new Rewritten(null, path, Next.SEARCH)));
                return;
            }
            report.not(d, "there are no files here: these requests fail");
        }
        end(w, d, false, "404");
    }

    private Location named(String name) {
        return server.locations().stream()
                .filter(l -> l.kind() == Location.Kind.NAMED && l.text().equals(name))
                .findFirst()
                .orElse(null);
    }

    private void to(Directive d, Walk w, Expression target, boolean uriCounts) {
        List<Alternative> all;
        try {
            all = values.resolve(target, scope(w));
        } catch (Conditions.Unable e) {
            report.not(d, "can't be expressed (" + e.getMessage() + "); these requests fail");
            end(w, d, false, "502");
            return;
        }
        boolean variables = !target.isLiteral();
        for (Alternative a : all) {
            Conditions both = and(w.when, a.when(), d);
            if (both != null) {
                pass(d, w.when(both), a.value(), variables, uriCounts);
            }
        }
    }

    /** Passes requests to one target, whose variables are none that conditions could tell. */
    private void pass(Directive d, Walk w, Expression target, boolean variables, boolean uriCounts) {
        String head = target.head();
        if (!head.startsWith("http://") && !head.startsWith("https://")) {
            report.not(
                    d,
                    head.isEmpty() && target.parts().isEmpty()
                            ? "for some requests it has no target; they fail"
                            : target + " is told by no key; these requests fail");
            end(w, d, false, "502");
            return;
        }
        if (head.startsWith("https://")) {
            report.changed(d, "connections to servers are not encrypted here");
        }
        String rest = head.substring(head.indexOf("//") + 2);
        int slash = rest.indexOf('/');
        String authority = slash < 0 ? rest : rest.substring(0, slash);
        List<Expression.Part> uri = new ArrayList<>();
        if (slash >= 0) {
            uri.add(new Expression.Part(false, rest.substring(slash)));
        }
        uri.addAll(target.parts().subList(1, target.parts().size()));
        if (!uri.isEmpty()
                && slash < 0
                && !Set.of("uri", "request_uri", "document_uri")
                        .contains(uri.get(0).text())) {
            report.not(d, target + " names a server that no key tells; these requests fail");
            end(w, d, false, "502");
            return;
        }
        PoolTranslator.PoolSpec pool = pools.of(authority, d);
        if (pool == null) {
            end(w, d, false, "502");
            return;
        }
        emit(d, w, pool, uriCounts ? new Expression(uri) : new Expression(List.of()), variables);
    }

    /** What happens to the path on its way to the pool. */
    private record Change(String strip, String add, String replace, Conditions when) {}

    private void emit(Directive d, Walk w, PoolTranslator.PoolSpec pool, Expression uri, boolean variables) {
        boolean given = !uri.parts().isEmpty();
        Change change;
        Rewritten r = w.rewritten;
        if ((given && !variables && w.location.kind().isRegex())
                || (given && !variables && w.handler != null)
                || (given && !variables && w.location.kind() == Location.Kind.NAMED)) {
            report.not(
                    d,
                    "nginx refuses this: \"proxy_pass\" cannot have URI part in location given by regular expression, "
                            + "or inside named location, or inside \"if\" statement; these requests fail");
            end(w, d, false, "500");
            return;
        }
        if (given && variables) {
            change = template(uri, w);
        } else if (r == null) {
            boolean same = uri.literal().equals(w.location.text()); // "location /a/" with "proxy_pass http://u/a/"
            change = given && !same
                    ? new Change(PathKey.encodePercent(w.location.text()), uri.literal(), null, w.when)
                    : new Change(null, null, null, w.when);
        } else {
            Expression path = r.path;
            if (given && r.next != Next.STAYS) {
                boolean inside = path.head().startsWith(w.location.text());
                List<Expression.Part> parts = new ArrayList<>(path.parts());
                if (inside) {
                    parts.set(
                            0,
                            new Expression.Part(
                                    false,
                                    uri.literal()
                                            + path.head()
                                                    .substring(w.location.text().length())));
                }
                path = inside ? Expression.joined(parts) : new Expression(List.of());
            }
            String t = path.parts().isEmpty() ? null : template(path, r.pattern);
            change = t == null ? null : new Change(null, null, t, r.pattern == null ? w.when : w.when.first(r.pattern));
        }
        if (change == null || (change.add != null && !KeyRewrite.isLegalKey(change.add))) {
            report.not(d, "the path that it makes can't be expressed; these requests fail");
            end(w, d, false, "502");
            return;
        }
        String by = null;
        if (r != null && pool.placeBy() != null && pool.placeBy().contains("${uri}")) {
            // What nginx hashes is the path that the rewrite has made, before the servers' own is made of it.
            String made = template(r.path, r.pattern);
            boolean told = r.pattern == null
                    ? r.path.isLiteral()
                    : change.when.patterns().contains(r.pattern);
            by = made == null || !told ? null : pool.placeBy().replace("${uri}", plain(r.path, r.pattern));
            change = by == null || r.pattern == null
                    ? change
                    : new Change(change.strip, change.add, change.replace, change.when.first(r.pattern));
            if (by == null) {
                report.not(d, "the path that nginx hashes can't be told here; keys may move");
            }
        }
        List<String> to = new ArrayList<>(List.of(pool.name()));
        String fallback = fallback(w, pool.name());
        if (fallback != null) {
            to.add(fallback);
        }
        out.add(new RouteSpec(
                name(d),
                w.place.order,
                host,
                w.place.exact,
                w.place.prefix,
                change.when,
                to,
                false,
                "".equals(change.strip) ? null : change.strip,
                change.add,
                change.replace,
                by,
                w.location.directive().toString()));
    }

    /** The change that makes a whole new path of variables; null if none does. */
    private Change template(Expression uri, Walk w) {
        List<Expression.Part> parts = new ArrayList<>();
        for (Expression.Part p : uri.parts()) {
            // A query is kept with the key, or has no part in it.
            if (!p.variable() || !Set.of("is_args", "args", "query_string").contains(p.text())) {
                parts.add(p);
            }
        }
        Expression path = Expression.joined(parts);
        if (path.is("uri", "request_uri", "document_uri")) {
            Rewritten r = w.rewritten;
            String t = r == null || !path.is("uri", "document_uri") ? null : template(r.path, r.pattern);
            return r != null && t != null
                    ? new Change(null, null, t, r.pattern == null ? w.when : w.when.first(r.pattern))
                    : new Change(null, null, null, w.when);
        }
        if (path.parts().size() == 2
                && !path.parts().get(0).variable()
                && w.rewritten == null
                && path.parts().get(1).variable()
                && Set.of("uri", "request_uri", "document_uri")
                        .contains(path.parts().get(1).text())) {
            return new Change(null, PathKey.encodePercent(path.head()), null, w.when);
        }
        if (path.parts().isEmpty() || path.head().isEmpty() || !path.head().startsWith("/")) {
            return null;
        }
        String t = template(path, w.captures);
        return t == null ? null : new Change(null, null, t, w.captures == null ? w.when : w.when.first(w.captures));
    }

    /** A path of literals and groups as a route's {@code replace}; null if it has other variables. */
    private static String template(Expression path, String pattern) {
        StringBuilder t = new StringBuilder();
        for (Expression.Part p : path.parts()) {
            if (!p.variable()) {
                t.append(PathKey.encodePercent(p.text()).replace("$", "$$"));
                continue;
            }
            int group = p.text().matches("[1-9]") ? Integer.parseInt(p.text()) : group(pattern, p.text());
            if (group <= 0 || group > 9 || pattern == null || group > new KeyPattern(pattern).groupCount()) {
                return null;
            }
            t.append('$').append(group);
        }
        return t.toString();
    }

    /** The same for what a placement hashes, in which nothing is escaped. */
    private static String plain(Expression path, String pattern) {
        StringBuilder t = new StringBuilder();
        for (Expression.Part p : path.parts()) {
            t.append(
                    p.variable()
                            ? "${" + (p.text().matches("[1-9]") ? p.text() : group(pattern, p.text())) + "}"
                            : p.text().replace("$", "$$"));
        }
        return t.toString();
    }

    /** The number of a named group; 0 if there is none. */
    private static int group(String pattern, String name) {
        int n = 0;
        for (int i = 0; pattern != null && i < pattern.length(); i++) {
            if (pattern.charAt(i) == '\\') {
                i++;
            } else if (pattern.charAt(i) == '(' && !pattern.startsWith("(?", i)) {
                n++;
            } else if (pattern.startsWith("(?P<", i)) {
                n++;
                if (pattern.startsWith("(?P<" + name + ">", i)) {
                    return n;
                }
            }
        }
        return 0;
    }

    /** The pool of the named location that takes what this one fails to answer; null: none. */
    private String fallback(Walk w, String pool) {
        Location at = w.location;
        while (at != null && at.directive().last("error_page") == null) {
            at = at.parent();
        }
        List<Directive> all = at != null ? at.directive().all("error_page") : errorPages;
        String found = null;
        for (Directive e : all) {
            String target = e.args().isEmpty() ? "" : e.args().get(e.args().size() - 1);
            boolean lost = e.args().stream().anyMatch(c -> c.equals("502") || c.equals("503") || c.equals("504"));
            Location named = target.startsWith("@") ? named(target) : null;
            Directive pass = named == null ? null : named.directive().last("proxy_pass");
            if (!lost || pass == null || !pass.arg(0).matches("https?://[^/$]+")) {
                report.not(
                        e,
                        "statuses are not told here, so that nothing is answered in their place"
                                + (lost ? "" : "; " + target + " is not asked for"));
                continue;
            }
            PoolTranslator.PoolSpec p =
                    pools.of(pass.arg(0).substring(pass.arg(0).indexOf("//") + 2), pass);
            if (p != null && !p.name().equals(pool) && found == null) {
                report.changed(
                        e,
                        "requests that no server answers go to " + p.name() + ", those that may not be repeated "
                                + "excepted");
                report.carried(named.directive());
                report.carried(pass);
                found = p.name();
            }
        }
        return found;
    }

    // ---- routes

    private void end(Walk w, Directive d, boolean refuse, String status) {
        Place p = w.place == null ? new Place(nextOrder(), null, null) : w.place;
        out.add(new RouteSpec(
                name(d),
                p.order,
                host,
                p.exact,
                p.prefix,
                w.when,
                List.of(),
                refuse,
                null,
                null,
                null,
                null,
                (w.location == null ? d : w.location.directive()) + " -> " + status));
    }

    /** A route is called by the file and line that it comes from. */
    private String name(Directive d) {
        String file =
                d.at().file().substring(d.at().file().lastIndexOf('/') + 1).replaceAll("[^A-Za-z0-9._-]", "_");
        String base = (file.length() > 40 ? file.substring(file.length() - 40) : file) + ":" + d.at().line();
        int n = names.merge(base, 1, Integer::sum);
        return n == 1 ? base : base + "." + n;
    }
}
