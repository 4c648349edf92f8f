package cacheproxy.fakes;

import cacheproxy.nginx.Directive;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What nginx would do with a request, by its public documentation (ngx_http_core, rewrite, map, split_clients, proxy
 * and upstream modules): reads the directives anew for each request, one after another. It shares nothing with the
 * importer but the grammar, so that each can be held against the other. Servers are taken to be well; clients to be
 * unknown.
 */
public final class NginxReferenceModel {
    private static final int MAX_CYCLES = 10;

    private final List<Directive> http = new ArrayList<>();
    private final Map<String, Directive> upstreams = new HashMap<>();
    private final List<Directive> servers = new ArrayList<>();
    private final Map<String, NavigableMap<Long, String>> rings = new HashMap<>();
    private final Map<String, Pattern> patterns = new HashMap<>();

    /**
     * What becomes of a request.
     *
     * @param status what nginx answers by itself; 0 where it passes the request on
     * @param pool name of the upstream, or the address itself
     * @param node the server as it is written; null where the method does not choose by the request alone
     * @param uri path and query that the server is asked for
     */
    public record Answer(int status, String pool, String node, String uri) {}

    /** A request while it is worked on. */
    private static final class Ask {
        String host;
        String method;
        String requestUri;
        String uri;
        String args;
        /** Whether a rewrite has changed the path since the location was found. */
        boolean changed;

        boolean everChanged;
        boolean broken;
        final Map<String, String> set = new HashMap<>();
        Matcher groups;
        Directive handler;
        Answer over;
    }

    public NginxReferenceModel(List<Directive> tree) {
        List<Directive> top = tree;
        List<Directive> found = tree.stream()
                .filter(d -> d.name().equals("http") && d.block() != null)
                .toList();
        if (!found.isEmpty()) {
            top = new ArrayList<>();
            for (Directive d : found) {
                top.addAll(d.block());
            }
        }
        http.addAll(top);
        for (Directive d : http) {
            if (d.name().equals("upstream") && d.block() != null) {
                upstreams.putIfAbsent(d.arg(0), d);
            } else if (d.name().equals("server") && d.block() != null) {
                servers.add(d);
            }
        }
    }

    /** The first socket of the configuration; requests come in there unless they say otherwise. */
    public String firstSocket() {
        return servers.isEmpty() ? "*:80" : sockets(servers.get(0)).get(0);
    }

    /** What becomes of a request for this host and URI, path with query, at this socket. */
    public Answer ask(String socket, String method, String host, String requestUri) {
        Ask a = new Ask();
        a.host = host.toLowerCase(Locale.ROOT);
        a.method = method;
        int sharp = requestUri.indexOf('#');
        a.requestUri = sharp < 0 ? requestUri : requestUri.substring(0, sharp);
        int question = a.requestUri.indexOf('?');
        a.args = question < 0 ? null : a.requestUri.substring(question + 1);
        a.uri = normalised(question < 0 ? a.requestUri : a.requestUri.substring(0, question));
        if (a.uri == null) {
            return new Answer(400, null, null, null);
        }
        Directive server = server(socket, a.host);
        if (server == null) {
            return new Answer(404, null, null, null);
        }
        rewriting(server.block(), a);
        a.broken = false;
        Directive location = null;
        for (int cycle = 0; a.over == null; cycle++) {
            if (cycle > MAX_CYCLES) {
                return new Answer(500, null, null, null);
            }
            location = find(server.block(), a);
            if (a.over != null) {
                break;
            }
            if ((location == null && server.last("try_files") == null)
                    || (location != null && location.last("internal") != null && !a.everChanged)) {
                return new Answer(404, null, null, null);
            }
            if (location == null) {
                String to = content(server, server, a, cycle);
                if (to == null) {
                    break;
                }
                a.uri = to;
                a.everChanged = true;
                continue;
            }
            a.changed = false;
            a.handler = null;
            rewriting(location.block(), a);
            if (a.changed && !a.broken && a.over == null) {
                continue;
            }
            a.broken = false;
            String again = content(server, location, a, cycle);
            if (again == null) {
                break;
            }
            a.uri = again;
            a.everChanged = true;
        }
        return a.over;
    }

    // ---- which server

    private static List<String> sockets(Directive server) {
        List<String> all = new ArrayList<>();
        for (Directive d : server.block()) {
            if (d.name().equals("listen")) {
                all.add(socket(d.arg(0)));
            }
        }
        return all.isEmpty() ? List.of("*:80") : all;
    }

    private static String socket(String text) {
        if (text.chars().allMatch(Character::isDigit)) {
            return "*:" + text;
        }
        int colon = text.lastIndexOf(':');
        return text.startsWith("unix:") || (colon > text.lastIndexOf(']') && colon > 0) ? text : text + ":80";
    }

    private Directive server(String socket, String host) {
        Directive first = null;
        Directive marked = null;
        Directive head = null;
        int headLength = 0;
        Directive tail = null;
        int tailLength = 0;
        Directive regex = null;
        for (Directive s : servers) {
            if (!sockets(s).contains(socket)) {
                continue;
            }
            first = first == null ? s : first;
            for (Directive l : s.all("listen")) {
                if (marked == null
                        && socket(l.arg(0)).equals(socket)
                        && l.args().contains("default_server")) {
                    marked = s;
                }
            }
            for (Directive names : s.all("server_name")) {
                for (String raw : names.args()) {
                    String n = raw.startsWith("~") ? raw : raw.toLowerCase(Locale.ROOT);
                    if (n.startsWith("~")) {
                        if (regex == null
                                && pattern(n.substring(1), true).matcher(host).find()) {
                            regex = s;
                        }
                    } else if (n.startsWith("*.") || n.startsWith(".")) {
                        String end = n.startsWith("*") ? n.substring(1) : n;
                        if (n.startsWith(".") && host.equals(end.substring(1)) && !host.isEmpty()) {
                            return exact(socket, host);
                        }
                        if (host.endsWith(end) && host.length() > end.length() && end.length() > headLength) {
                            head = s;
                            headLength = end.length();
                        }
                    } else if (n.endsWith(".*")) {
                        String start = n.substring(0, n.length() - 1);
                        if (host.startsWith(start) && host.length() > start.length() && start.length() > tailLength) {
                            tail = s;
                            tailLength = start.length();
                        }
                    } else if (n.equals(host) && !host.isEmpty()) {
                        return exact(socket, host);
                    }
                }
            }
        }
        return head != null ? head : tail != null ? tail : regex != null ? regex : marked != null ? marked : first;
    }

    /** The first server with just this name. */
    private Directive exact(String socket, String host) {
        for (Directive s : servers) {
            if (sockets(s).contains(socket)) {
                for (Directive names : s.all("server_name")) {
                    if (names.args().stream()
                            .anyMatch(n -> n.equalsIgnoreCase(host) || n.equalsIgnoreCase("." + host))) {
                        return s;
                    }
                }
            }
        }
        return null;
    }

    // ---- which location

    private static String[] kindAndText(Directive d) {
        if (d.args().size() == 2) {
            return new String[] {d.arg(0), d.arg(1)};
        }
        String t = d.arg(0);
        for (String m : new String[] {"=", "^~", "~*", "~"}) {
            if (t.startsWith(m)) {
                return new String[] {m, t.substring(m.length())};
            }
        }
        return new String[] {t.startsWith("@") ? "@" : "", t};
    }

    /** The documented search, one level at a time. */
    private Directive find(List<Directive> level, Ask a) {
        Directive longest = null;
        String longestKind = "";
        int length = -1;
        Directive slash = null;
        for (Directive d : level) {
            if (!d.name().equals("location") || d.block() == null) {
                continue;
            }
            String[] k = kindAndText(d);
            if (k[0].equals("=") && k[1].equals(a.uri)) {
                return d;
            }
            if ((k[0].isEmpty() || k[0].equals("^~")) && a.uri.startsWith(k[1]) && k[1].length() > length) {
                longest = d;
                longestKind = k[0];
                length = k[1].length();
            }
            if ((k[0].isEmpty() || k[0].equals("^~"))
                    && k[1].equals(a.uri + "/")
                    && (d.last("proxy_pass") != null || d.last("memcached_pass") != null)) {
                slash = d;
            }
        }
        if (slash != null && length < a.uri.length()) {
            a.over = new Answer(301, null, null, null);
            return null;
        }
        if (longest != null) {
            Directive inner = find(longest.block(), a);
            if (a.over != null) {
                return null;
            }
            if (inner != null && isFinal(inner)) {
                return inner;
            }
            Directive outer = longestKind.equals("^~") ? null : regex(level, a);
            return outer != null ? outer : inner != null ? inner : longest;
        }
        return regex(level, a);
    }

    /** Whether a nested search ended with an exact path or a pattern. */
    private static boolean isFinal(Directive d) {
        String kind = kindAndText(d)[0];
        return kind.equals("=") || kind.startsWith("~");
    }

    private Directive regex(List<Directive> level, Ask a) {
        for (Directive d : level) {
            if (!d.name().equals("location") || d.block() == null) {
                continue;
            }
            String[] k = kindAndText(d);
            if (k[0].equals("~") || k[0].equals("~*")) {
                Matcher m = pattern(k[1], k[0].equals("~*")).matcher(a.uri);
                if (m.find()) {
                    a.groups = m;
                    Directive inner = regex(d.block(), a);
                    return inner != null ? inner : d;
                }
            }
        }
        return null;
    }

    private Pattern pattern(String text, boolean anyCase) {
        return patterns.computeIfAbsent(
                (anyCase ? "i" : "c") + text, k -> Pattern.compile(text, anyCase ? Pattern.CASE_INSENSITIVE : 0));
    }

    // ---- rewriting

    private void rewriting(List<Directive> block, Ask a) {
        for (Directive d : block) {
            if (a.over != null || a.broken) {
                return;
            }
            switch (d.name()) {
                case "set" -> a.set.put(d.arg(0).substring(1), expand(d.arg(1), a));
                case "return" -> {
                    boolean code = d.arg(0).matches("[0-9]{3}");
                    a.over = new Answer(code ? Integer.parseInt(d.arg(0)) : 302, null, null, null);
                }
                case "break" -> a.broken = true;
                case "rewrite" -> {
                    if (rewrite(d, a)) {
                        return;
                    }
                }
                case "if" -> {
                    if (holds(d, a)) {
                        Directive pass = d.last("proxy_pass");
                        pass = pass != null ? pass : d.last("memcached_pass");
                        a.handler = pass != null ? pass : a.handler;
                        boolean before = a.changed;
                        rewriting(d.block(), a);
                        if (a.changed && !before && ended(d)) {
                            return;
                        }
                    }
                }
                default -> {}
            }
        }
    }

    /** Whether a rewrite within an {@code if} has ended the set with {@code last}. */
    private static boolean ended(Directive d) {
        return d.all("rewrite").stream().anyMatch(r -> r.arg(2).equals("last"));
    }

    /** Whether it ends the set. */
    private boolean rewrite(Directive d, Ask a) {
        Matcher m = pattern(d.arg(0), false).matcher(a.uri);
        if (!m.find()) {
            return false;
        }
        a.groups = m;
        String to = expand(d.arg(1), a);
        if (to.startsWith("http://")
                || to.startsWith("https://")
                || d.arg(2).equals("redirect")
                || d.arg(2).equals("permanent")) {
            a.over = new Answer(d.arg(2).equals("permanent") ? 301 : 302, null, null, null);
            return true;
        }
        int question = to.indexOf('?');
        a.uri = question < 0 ? to : to.substring(0, question);
        a.changed = true;
        a.everChanged = true;
        if (d.arg(2).equals("break")) {
            a.broken = true;
        }
        return !d.arg(2).isEmpty();
    }

    private boolean holds(Directive d, Ask a) {
        String t = String.join(" ", d.args()).trim();
        t = t.substring(t.startsWith("(") ? 1 : 0, t.endsWith(")") ? t.length() - 1 : t.length())
                .trim();
        String[] p = t.split("\\s+", 3);
        if (!p[0].startsWith("$")) {
            return p[0].startsWith("!-"); // there are no files
        }
        String value = expand(p[0], a);
        if (p.length == 1) {
            return !value.isEmpty() && !value.equals("0");
        }
        String right =
                p[2].length() > 1 && "\"'".indexOf(p[2].charAt(0)) >= 0 ? p[2].substring(1, p[2].length() - 1) : p[2];
        switch (p[1]) {
            case "=" -> {
                return value.equals(right);
            }
            case "!=" -> {
                return !value.equals(right);
            }
            default -> {
                Matcher m = pattern(right, p[1].endsWith("*")).matcher(value);
                boolean found = m.find();
                if (found && !p[1].startsWith("!")) {
                    a.groups = m;
                }
                return found != p[1].startsWith("!");
            }
        }
    }

    // ---- variables

    private String expand(String text, Ask a) {
        StringBuilder out = new StringBuilder();
        Matcher m = Pattern.compile("\\$(?:\\{(\\w+)}|([0-9])|([A-Za-z_]\\w*))").matcher(text);
        int end = 0;
        while (m.find()) {
            out.append(text, end, m.start());
            out.append(variable(m.group(1) != null ? m.group(1) : m.group(2) != null ? m.group(2) : m.group(3), a));
            end = m.end();
        }
        return out.append(text.substring(end)).toString();
    }

    private String variable(String name, Ask a) {
        if (a.set.containsKey(name)) {
            return a.set.get(name);
        }
        if (name.matches("[0-9]")) {
            int n = Integer.parseInt(name);
            String g = a.groups != null && n <= a.groups.groupCount() ? a.groups.group(n) : null;
            return g == null ? "" : g;
        }
        switch (name) {
            case "uri", "document_uri" -> {
                return a.uri;
            }
            case "request_uri" -> {
                return a.requestUri;
            }
            case "host", "http_host" -> {
                return a.host;
            }
            case "request_method" -> {
                return a.method;
            }
            case "args", "query_string" -> {
                return a.args == null ? "" : a.args;
            }
            case "is_args" -> {
                return a.args == null || a.args.isEmpty() ? "" : "?";
            }
            case "scheme" -> {
                return "http";
            }
            default -> {}
        }
        if (name.startsWith("arg_")) {
            for (String pair : (a.args == null ? "" : a.args).split("&", 0)) {
                if (pair.toLowerCase(Locale.ROOT).startsWith(name.substring(4).toLowerCase(Locale.ROOT) + "=")) {
                    return pair.substring(name.length() - 3);
                }
            }
            return "";
        }
        for (Directive d : http) {
            String sets = d.name().equals("geo") && d.args().size() == 1 ? d.arg(0) : d.arg(1);
            if (!sets.equals("$" + name)) {
                continue;
            }
            switch (d.name()) {
                case "map" -> {
                    return map(d, a);
                }
                case "split_clients" -> {
                    return split(d, a);
                }
                case "geo" -> {
                    return d.last("default") == null ? "" : d.last("default").arg(0);
                }
                default -> {}
            }
        }
        if (a.groups != null && a.groups.pattern().pattern().contains("(?<" + name + ">")) {
            String g = a.groups.group(name);
            return g == null ? "" : g;
        }
        return ""; // headers, cookies and addresses of a client that is not known
    }

    private String map(Directive d, Ask a) {
        String source = expand(d.arg(0), a);
        Set<String> words = Set.of("default", "hostnames", "volatile");
        for (Directive e : d.block()) {
            String n = e.name().startsWith("\\") ? e.name().substring(1) : e.name();
            if (!words.contains(e.name()) && !e.name().startsWith("~") && n.equalsIgnoreCase(source)) {
                return expand(e.arg(0), a);
            }
        }
        if (!d.all("hostnames").isEmpty()) {
            String found = null;
            int best = 0;
            for (boolean front : new boolean[] {true, false}) {
                for (Directive e : d.block()) {
                    String n = e.name().toLowerCase(Locale.ROOT);
                    boolean fits = front
                            ? (n.startsWith("*.") && source.endsWith(n.substring(1)))
                                    || (n.startsWith(".") && (source.endsWith(n) || source.equals(n.substring(1))))
                            : n.endsWith(".*") && source.startsWith(n.substring(0, n.length() - 1));
                    if (fits && n.length() > best) {
                        best = n.length();
                        found = e.arg(0);
                    }
                }
                if (found != null) {
                    return expand(found, a);
                }
            }
        }
        for (Directive e : d.block()) {
            if (e.name().startsWith("~")) {
                boolean any = e.name().startsWith("~*");
                if (pattern(e.name().substring(any ? 2 : 1), any)
                        .matcher(source)
                        .find()) {
                    return expand(e.arg(0), a);
                }
            }
        }
        return d.last("default") == null ? "" : expand(d.last("default").arg(0), a);
    }

    private String split(Directive d, Ask a) {
        long hash = murmur2(expand(d.arg(0), a).getBytes(StandardCharsets.ISO_8859_1));
        long bound = 0;
        for (Directive e : d.block()) {
            if (e.name().equals("*")) {
                return expand(e.arg(0), a);
            }
            long hundredths = Math.round(Double.parseDouble(e.name().replace("%", "")) * 100);
            bound += hundredths * 4294967295L / 10000;
            if (hash < bound) {
                return expand(e.arg(0), a);
            }
        }
        return "";
    }

    /** MurmurHash2, with unsigned arithmetic written out. */
    private static long murmur2(byte[] data) {
        final long m = 0x5bd1e995L;
        final long mask = 0xFFFFFFFFL;
        long h = data.length;
        int at = 0;
        int left = data.length;
        while (left >= 4) {
            long k = 0;
            for (int b = 3; b >= 0; b--) {
                k = k << 8 | (data[at + b] & 0xFF);
            }
            k = k * m & mask;
            k ^= k >> 24;
            k = k * m & mask;
            h = (h * m & mask) ^ k;
            at += 4;
            left -= 4;
        }
        if (left >= 3) {
            h ^= (long) (data[at + 2] & 0xFF) << 16;
        }
        if (left >= 2) {
            h ^= (long) (data[at + 1] & 0xFF) << 8;
        }
        if (left >= 1) {
            h ^= data[at] & 0xFF;
            h = h * m & mask;
        }
        h ^= h >> 13;
        h = h * m & mask;
        return h ^ h >> 15;
    }

    // ---- content

    /** The path to search again with; null where the request is answered. */
    private String content(Directive server, Directive location, Ask a, int cycle) {
        Directive limit = location.last("limit_except");
        boolean read = a.method.equals("GET") || a.method.equals("HEAD");
        if (limit != null
                && !read
                && !limit.args().contains(a.method)
                && !limit.all("deny").isEmpty()) {
            a.over = new Answer(403, null, null, null);
            return null;
        }
        Directive files = location.last("try_files");
        if (files != null && a.handler == null) {
            String last = files.args().get(files.args().size() - 1);
            if (last.startsWith("@")) {
                return named(server, last, a, cycle);
            }
            if (last.startsWith("=")) {
                a.over = new Answer(Integer.parseInt(last.substring(1)), null, null, null);
                return null;
            }
            String path = expand(last, a);
            int question = path.indexOf('?');
            return question < 0 ? path : path.substring(0, question);
        }
        Directive pass = a.handler != null ? a.handler : location.last("proxy_pass");
        pass = pass != null ? pass : location.last("memcached_pass");
        if (pass == null) {
            a.over = new Answer(404, null, null, null);
        } else {
            pass(pass, location, a);
        }
        return null;
    }

    private String named(Directive server, String name, Ask a, int cycle) {
        for (Directive d : server.all("location")) {
            if (d.arg(0).equals(name)) {
                a.changed = false;
                rewriting(d.block(), a);
                if (a.over == null) {
                    if (a.changed && !a.broken) {
                        return a.uri;
                    }
                    a.broken = false;
                    content(server, d, a, cycle);
                }
                return null;
            }
        }
        a.over = new Answer(500, null, null, null);
        return null;
    }

    private void pass(Directive d, Directive location, Ask a) {
        String written = d.arg(0);
        String target = expand(written, a);
        if (d.name().equals("memcached_pass")) {
            target = "http://" + target;
        }
        int scheme = target.indexOf("://");
        if (scheme < 0) {
            a.over = new Answer(500, null, null, null);
            return;
        }
        String rest = target.substring(scheme + 3);
        int slash = rest.indexOf('/');
        String authority = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? null : rest.substring(slash);
        String[] k = kindAndText(location);
        String query = a.args == null ? "" : "?" + a.args;
        String uri;
        if (path == null || d.name().equals("memcached_pass")) {
            uri = a.everChanged ? a.uri + query : a.requestUri;
        } else if (written.contains("$")) {
            uri = path;
        } else if (k[0].startsWith("~") || k[0].equals("@") || a.handler != null) {
            a.over = new Answer(500, null, null, null); // nginx does not start with it
            return;
        } else if (a.changed) {
            uri = a.uri + query; // changed within this location: the URI of the directive does not count
        } else {
            uri = path + a.uri.substring(k[1].length()) + query;
        }
        Directive up = upstreams.get(authority);
        a.over = new Answer(0, authority, up == null ? authority : node(up, a), uri);
    }

    // ---- which node

    private record Peer(String name, int weight, boolean down) {}

    private static List<Peer> peers(Directive up) {
        List<Peer> all = new ArrayList<>();
        for (Directive s : up.all("server")) {
            int weight = 1;
            boolean down = false;
            boolean backup = false;
            for (String p : s.args()) {
                down |= p.equals("down");
                backup |= p.equals("backup");
                if (p.matches("weight=[1-9][0-9]*")) {
                    weight = Integer.parseInt(p.substring(7));
                }
            }
            if (!backup) {
                all.add(new Peer(s.arg(0), weight, down));
            }
        }
        return all;
    }

    /** Null where it depends on more than the request. */
    private String node(Directive up, Ask a) {
        List<Peer> peers = peers(up);
        Directive hash = null;
        for (Directive d : up.block()) {
            if (List.of("hash", "ip_hash", "least_conn", "random", "least_time").contains(d.name())) {
                hash = d.name().equals("hash") ? d : null;
            }
        }
        if (peers.size() == 1) {
            return peers.get(0).name;
        }
        if (hash == null) {
            return null;
        }
        String key = expand(hash.arg(0).replace("$proxy_host", up.arg(0)).replace("${proxy_host}", up.arg(0)), a);
        if (key.isEmpty()) {
            return null;
        }
        byte[] text = key.getBytes(StandardCharsets.ISO_8859_1);
        return hash.arg(1).equals("consistent") ? onRing(up, peers, text) : bySum(peers, text);
    }

    /** As Cache::Memcached spreads keys. */
    private static String bySum(List<Peer> peers, byte[] key) {
        int total = 0;
        for (Peer p : peers) {
            total += p.weight;
        }
        long hash = 0;
        for (int tries = 0, rehash = 0; tries <= 20; rehash++) {
            byte[] prefix = rehash == 0 ? new byte[0] : Integer.toString(rehash).getBytes(StandardCharsets.US_ASCII);
            byte[] whole = new byte[prefix.length + key.length];
            System.arraycopy(prefix, 0, whole, 0, prefix.length);
            System.arraycopy(key, 0, whole, prefix.length, key.length);
            hash += crc32(whole) >> 16 & 0x7FFF;
            long place = hash % total;
            for (Peer p : peers) {
                if (place < p.weight) {
                    if (!p.down) {
                        return p.name;
                    }
                    tries++;
                    break;
                }
                place -= p.weight;
            }
        }
        return null;
    }

    /** As Cache::Memcached::Fast spreads keys. */
    private String onRing(Directive up, List<Peer> peers, byte[] key) {
        NavigableMap<Long, String> ring = rings.computeIfAbsent(up.arg(0), k -> ring(peers));
        Set<String> down = new HashSet<>();
        for (Peer p : peers) {
            if (p.down) {
                down.add(p.name);
            }
        }
        Long at = ring.ceilingKey(crc32(key));
        for (int tries = 0; tries <= 20; tries++) {
            at = at == null ? ring.firstKey() : at;
            if (!down.contains(ring.get(at))) {
                return ring.get(at);
            }
            at = ring.higherKey(at);
        }
        return null;
    }

    private static NavigableMap<Long, String> ring(List<Peer> peers) {
        TreeMap<Long, String> ring = new TreeMap<>();
        for (Peer p : peers) {
            Matcher m = Pattern.compile("^(.*):([0-9]*)$").matcher(p.name);
            String unix = p.name.toLowerCase(Locale.ROOT).startsWith("unix:") ? p.name.substring(5) : null;
            String text = unix != null ? unix + "\0" : m.matches() ? m.group(1) + "\0" + m.group(2) : p.name + "\0";
            byte[] base = text.getBytes(StandardCharsets.ISO_8859_1);
            long previous = 0;
            for (int i = 0; i < 160 * p.weight; i++) {
                byte[] point = java.util.Arrays.copyOf(base, base.length + 4);
                for (int b = 0; b < 4; b++) {
                    point[base.length + b] = (byte) (previous >> (8 * b));
                }
                previous = crc32(point);
                ring.putIfAbsent(previous, p.name);
            }
        }
        return ring;
    }

    /** CRC-32 of ISO 3309, bit by bit. */
    private static long crc32(byte[] data) {
        long crc = 0xFFFFFFFFL;
        for (byte b : data) {
            crc ^= b & 0xFF;
            for (int bit = 0; bit < 8; bit++) {
                crc = (crc & 1) != 0 ? crc >> 1 ^ 0xEDB88320L : crc >> 1;
            }
        }
        return crc ^ 0xFFFFFFFFL;
    }

    // ---- paths

    /** Null where nginx answers 400. */
    private static String normalised(String raw) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < raw.length(); i++) {
            char c = raw.charAt(i);
            boolean escaped = c == '%';
            if (escaped) {
                if (i + 2 >= raw.length() || !raw.substring(i + 1, i + 3).matches("[0-9a-fA-F]{2}")) {
                    return null;
                }
                c = (char) Integer.parseInt(raw.substring(i + 1, i + 3), 16);
                i += 2;
                if (c == 0) {
                    return null;
                }
            }
            out.append(c);
        }
        String path = out.toString();
        if (!path.startsWith("/")) {
            return path;
        }
        while (path.contains("//")) {
            path = path.replace("//", "/");
        }
        while (true) {
            if (path.contains("/./")) {
                path = path.replaceFirst("/\\./", "/");
            } else if (path.endsWith("/.")) {
                path = path.substring(0, path.length() - 1);
            } else {
                int up = path.endsWith("/..") && path.indexOf("/../") < 0 ? path.length() - 3 : path.indexOf("/../");
                if (up < 0) {
                    return path;
                }
                if (up == 0) {
                    return null;
                }
                int before = path.lastIndexOf('/', up - 1);
                String after = path.length() > up + 4 ? path.substring(up + 4) : "";
                path = path.substring(0, before + 1) + after;
            }
        }
    }
}
