package cacheproxy.routes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The template of the text that is hashed to place a request, such as {@code $host$uri}. Variables: {@code $key}, the
 * key that the pool receives; {@code $uri}, the normalized path that routes match, and {@code $1} to {@code $9}, the
 * groups that the route's first pattern matches in it, all with escapes decoded; {@code $request_uri}, path and query
 * as sent; {@code $host}; {@code $args} and {@code $query_string}; {@code $is_args}; {@code $arg_NAME}. {@code $$} is a
 * dollar sign; a name may be written in braces, as in <code>${uri}x</code>.
 */
public final class PlacementTemplate {
    /** With keys of 250 octets, this keeps the hashed text below 4,096 octets. */
    private static final int MAX_VARIABLES = 8;

    private static final int MAX_LENGTH = 1000;
    private static final String ARGUMENT_PREFIX = "arg_";
    private static final List<String> VARIABLES =
            List.of("key", "uri", "request_uri", "host", "args", "query_string", "is_args");

    /** The template of the key that the pool receives. */
    public static final PlacementTemplate KEY = new PlacementTemplate("$key");

    private final String text;
    /** Literals at even indexes, names of variables at odd ones. */
    private final String[] parts;

    /**
     * Parses a template.
     *
     * @throws IllegalArgumentException if the template refers to an unknown variable or is too long
     */
    public PlacementTemplate(String text) {
        this.text = text;
        List<String> parsed = parse(text);
        if (parsed.size() > 2 * MAX_VARIABLES + 1 || text.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "at most " + MAX_VARIABLES + " variables and " + MAX_LENGTH + " characters");
        }
        parts = parsed.toArray(new String[0]);
    }

    private static List<String> parse(String text) {
        List<String> parsed = new ArrayList<>();
        StringBuilder literal = new StringBuilder();
        int index = 0;
        while (index < text.length()) {
            if (text.charAt(index) != '$') {
                literal.append(text.charAt(index));
                index++;
            } else if (text.startsWith("$$", index)) {
                literal.append('$');
                index += 2;
            } else {
                boolean braced = text.startsWith("${", index);
                int nameStart = braced ? index + 2 : index + 1;
                int nameEnd = nameEnd(text, nameStart, braced);
                String name = text.substring(nameStart, nameEnd);
                if (!isVariable(name) || (braced && !text.startsWith("}", nameEnd))) {
                    throw new IllegalArgumentException("'$" + name + "' is not a variable; there are $"
                            + String.join(", $", VARIABLES) + ", $arg_NAME, and $$ for a dollar sign");
                }
                parsed.add(literal.toString());
                parsed.add(name);
                literal.setLength(0);
                index = braced ? nameEnd + 1 : nameEnd;
            }
        }
        parsed.add(literal.toString());
        return parsed;
    }

    private static int nameEnd(String text, int nameStart, boolean braced) {
        int end = nameStart;
        while (end < text.length() && (Character.isLetterOrDigit(text.charAt(end)) || text.charAt(end) == '_')) {
            end++;
        }
        boolean isGroup = end > nameStart && Character.isDigit(text.charAt(nameStart));
        return !braced && isGroup ? nameStart + 1 : end; // $12 is group 1 followed by the digit 2
    }

    private static boolean isVariable(String name) {
        return VARIABLES.contains(name)
                || name.matches("[1-9]")
                || (name.startsWith(ARGUMENT_PREFIX) && name.length() > ARGUMENT_PREFIX.length());
    }

    /** The template as it was written. */
    public String text() {
        return text;
    }

    /** Returns the highest group number that the template refers to; 0 if it refers to none. */
    public int highestGroup() {
        int highest = 0;
        for (int i = 1; i < parts.length; i += 2) {
            boolean isGroup = parts[i].length() == 1 && Character.isDigit(parts[i].charAt(0));
            highest = Math.max(highest, isGroup ? parts[i].charAt(0) - '0' : 0);
        }
        return highest;
    }

    /**
     * Returns the octets to hash for a request on a route whose pool receives this key. Without a route, groups are
     * empty.
     */
    public byte[] hashInput(RouteInput input, Route route, String poolKey) {
        byte[][] values = new byte[parts.length][];
        int length = 0;
        for (int i = 0; i < parts.length; i++) {
            boolean isLiteral = (i & 1) == 0;
            values[i] = isLiteral ? parts[i].getBytes(StandardCharsets.UTF_8) : value(parts[i], input, route, poolKey);
            length += values[i].length;
        }
        byte[] concatenated = new byte[length];
        int offset = 0;
        for (byte[] value : values) {
            System.arraycopy(value, 0, concatenated, offset, value.length);
            offset += value.length;
        }
        return concatenated;
    }

    private static byte[] value(String variable, RouteInput input, Route route, String poolKey) {
        if (Character.isDigit(variable.charAt(0))) {
            return groupValue(variable.charAt(0) - '0', input, route);
        }
        PathKey path = input.path();
        if (variable.equals("key") || path == null) {
            return octets(poolKey);
        }
        return switch (variable) {
            case "uri" -> PathKey.decodePercent(path.path());
            case "request_uri" -> octets(path.requestUri());
            case "host" -> octets(path.host());
            case "args", "query_string" -> octets(path.query());
            case "is_args" -> octets(path.query() == null || path.query().isEmpty() ? "" : "?");
            default -> octets(path.queryArgument(variable.substring(ARGUMENT_PREFIX.length())));
        };
    }

    private static byte[] groupValue(int number, RouteInput input, Route route) {
        String group = route == null || route.conditions().patterns().isEmpty()
                ? null
                : route.conditions().patterns().get(0).group(input.key(), number);
        return input.path() == null || group == null ? octets(group) : PathKey.decodePercent(group);
    }

    private static byte[] octets(String text) {
        return text == null ? new byte[0] : text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PlacementTemplate template && template.text.equals(text);
    }

    /** The template as it was written. */
    @Override
    public String toString() {
        return text;
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }
}
