package cacheproxy.routes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * What of a request a placement hashes, such as {@code $host$uri}. Variables: {@code $key} what the pool gets;
 * {@code $uri} the normalised path as routes see it, and {@code $1} to {@code $9} groups of the route's first pattern
 * in it, all with escapes decoded; {@code $request_uri} path and query as sent; {@code $host}; {@code $args} and
 * {@code $query_string}; {@code $is_args}; {@code $arg_NAME}. {@code $$} is a dollar; braces are allowed, as in <code>
 * ${uri}x</code>.
 */
public final class PlacementTemplate {
    /** With keys of 250 bytes the text has fewer than 4,096 then. */
    static final int MAX_PARTS = 8;

    static final int MAX_LENGTH = 1000;
    private static final List<String> NAMES =
            List.of("key", "uri", "request_uri", "host", "args", "query_string", "is_args");
    public static final PlacementTemplate KEY = new PlacementTemplate("$key");

    private final String text;
    /** Literals at even places, variables at odd ones. */
    private final String[] parts;

    /** An IllegalArgumentException says what is wrong with the text. */
    public PlacementTemplate(String text) {
        this.text = text;
        List<String> list = new ArrayList<>();
        StringBuilder literal = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) != '$') {
                literal.append(text.charAt(i));
                continue;
            }
            if (text.startsWith("$$", i)) {
                literal.append('$');
                i++;
                continue;
            }
            boolean braced = text.startsWith("${", i);
            int from = braced ? i + 2 : i + 1;
            int to = from;
            while (to < text.length() && (Character.isLetterOrDigit(text.charAt(to)) || text.charAt(to) == '_')) {
                to++;
            }
            String name = text.substring(from, to);
            if (!braced && !name.isEmpty() && Character.isDigit(name.charAt(0))) {
                name = name.substring(0, 1); // $12 is the first group and a 2
                to = from + 1;
            }
            if ((!NAMES.contains(name) && !name.matches("[1-9]") && !(name.startsWith("arg_") && name.length() > 4))
                    || (braced && !text.startsWith("}", to))) {
                throw new IllegalArgumentException("'$" + name + "' is no variable here; there are $"
                        + String.join(", $", NAMES) + ", $arg_NAME, and $$ for a dollar");
            }
            list.add(literal.toString());
            list.add(name);
            literal.setLength(0);
            i = braced ? to : to - 1;
        }
        list.add(literal.toString());
        if (list.size() > 2 * MAX_PARTS + 1 || text.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("at most " + MAX_PARTS + " variables and " + MAX_LENGTH + " characters");
        }
        parts = list.toArray(new String[0]);
    }

    /** As it was written. */
    public String text() {
        return text;
    }

    /** The highest group that it takes; 0: none. */
    public int groups() {
        int most = 0;
        for (int i = 1; i < parts.length; i += 2) {
            most = Math.max(
                    most,
                    parts[i].length() == 1 && Character.isDigit(parts[i].charAt(0)) ? parts[i].charAt(0) - '0' : 0);
        }
        return most;
    }

    /** The bytes to hash for a request on a route whose pool gets this key; without a route groups are empty. */
    public byte[] bytes(RouteInput s, Route route, String poolKey) {
        byte[][] values = new byte[parts.length][];
        int length = 0;
        for (int i = 0; i < parts.length; i++) {
            values[i] = (i & 1) == 0 ? parts[i].getBytes(StandardCharsets.UTF_8) : value(parts[i], s, route, poolKey);
            length += values[i].length;
        }
        byte[] all = new byte[length];
        int at = 0;
        for (byte[] v : values) {
            System.arraycopy(v, 0, all, at, v.length);
            at += v.length;
        }
        return all;
    }

    private static byte[] value(String name, RouteInput s, Route route, String poolKey) {
        PathKey sent = s.sent();
        if (Character.isDigit(name.charAt(0))) {
            String group = route == null || route.patterns().isEmpty()
                    ? null
                    : route.patterns().get(0).group(s.key(), name.charAt(0) - '0');
            return sent == null || group == null ? ascii(group) : PathKey.decode(group);
        }
        if (name.equals("key") || sent == null) {
            return ascii(poolKey);
        }
        return switch (name) {
            case "uri" -> PathKey.decode(sent.path());
            case "request_uri" -> ascii(sent.request());
            case "host" -> ascii(sent.host());
            case "args", "query_string" -> ascii(sent.query());
            case "is_args" -> ascii(sent.query() == null || sent.query().isEmpty() ? "" : "?");
            default -> ascii(sent.argument(name.substring("arg_".length())));
        };
    }

    private static byte[] ascii(String text) {
        return text == null ? new byte[0] : text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PlacementTemplate p && p.text.equals(text);
    }

    /** As it was written. */
    @Override
    public String toString() {
        return text;
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }
}
