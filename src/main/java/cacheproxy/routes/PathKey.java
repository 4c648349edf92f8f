package cacheproxy.routes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A key that is a URI without its scheme: {@code host/path?query}, where host and query are optional.
 *
 * <p>The path is normalized as HTTP proxies do (RFC 3986, section 6.2.2; nginx's documentation of {@code location}):
 * escapes are decoded, {@code .} and {@code ..} are resolved, adjacent slashes are merged. Octets that are illegal in
 * keys, and {@code %}, {@code ?} and {@code #}, stay escaped, so that equal paths have equal texts and normalization is
 * idempotent.
 *
 * @param host in lower case, without a port; empty if the key begins with its path
 * @param rawPath the path as it was sent, without the query
 * @param path the normalized path
 * @param query the text after the first question mark; null if there is none
 */
public record PathKey(String host, String rawPath, String path, String query) {
    private static final String HEX_DIGITS = "0123456789ABCDEF";

    /** Parses a key; returns null if its path has a malformed escape or more {@code ..} than segments. */
    public static PathKey parse(String key) {
        int pathStart = hostLength(key);
        String host = normalizeHost(key.substring(0, pathStart));
        int fragment = key.indexOf('#', pathStart);
        int end = fragment < 0 ? key.length() : fragment;
        int question = key.indexOf('?');
        boolean hasQuery = question >= 0 && question < end;
        String rawPath = key.substring(pathStart, hasQuery ? question : end);
        String path = normalizePath(rawPath);
        return path == null
                ? null
                : new PathKey(host, rawPath, path, hasQuery ? key.substring(question + 1, end) : null);
    }

    /** Returns the length of the text before the path; 0 if there is no slash before the query. */
    private static int hostLength(String key) {
        int slash = key.indexOf('/');
        int question = key.indexOf('?');
        boolean slashIsInQuery = question >= 0 && question < slash;
        return slash <= 0 || slashIsInQuery ? 0 : slash;
    }

    private static String normalizeHost(String text) {
        String host = text.toLowerCase(Locale.ROOT);
        int colon = host.lastIndexOf(':');
        if (colon > 0 && host.indexOf(']', colon) < 0 && isDigits(host.substring(colon + 1))) {
            host = host.substring(0, colon);
        }
        return host.endsWith(".") && host.length() > 1 ? host.substring(0, host.length() - 1) : host;
    }

    private static boolean isDigits(String text) {
        return text.chars().allMatch(character -> character >= '0' && character <= '9');
    }

    private static String normalizePath(String rawPath) {
        if (rawPath.indexOf('%') < 0 && !rawPath.contains("//") && !rawPath.contains("/.")) {
            return rawPath;
        }
        byte[] octets = decodePercent(rawPath);
        if (octets == null) {
            return null;
        }
        String decoded = new String(octets, StandardCharsets.ISO_8859_1);
        if (!decoded.startsWith("/")) {
            return encodePercent(decoded);
        }
        String resolved = resolveDotSegments(decoded);
        return resolved == null ? null : encodePercent(resolved);
    }

    /** Resolves {@code .} and {@code ..}; returns null if a {@code ..} leads above the root. */
    private static String resolveDotSegments(String absolutePath) {
        List<String> segments = new ArrayList<>();
        boolean endsInSlash = false;
        for (String segment : absolutePath.substring(1).split("/", -1)) {
            endsInSlash = segment.isEmpty() || segment.equals(".") || segment.equals("..");
            if (segment.equals("..")) {
                if (segments.isEmpty()) {
                    return null;
                }
                segments.remove(segments.size() - 1);
            } else if (!endsInSlash) {
                segments.add(segment);
            }
        }
        return "/" + String.join("/", segments) + (endsInSlash && !segments.isEmpty() ? "/" : "");
    }

    /** Returns the octets of a text with percent escapes; null if an escape is malformed or encodes NUL. */
    public static byte[] decodePercent(String text) {
        byte[] octets = new byte[text.length()];
        int length = 0;
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) != '%') {
                octets[length++] = (byte) text.charAt(i);
                continue;
            }
            boolean isComplete = i + 2 < text.length();
            int high = isComplete ? Character.digit(text.charAt(i + 1), 16) : -1;
            int low = isComplete ? Character.digit(text.charAt(i + 2), 16) : -1;
            if (high < 0 || low < 0 || high + low == 0) {
                return null;
            }
            octets[length++] = (byte) (high << 4 | low);
            i += 2;
        }
        return Arrays.copyOf(octets, length);
    }

    /**
     * Escapes the octets that the text of a path may not contain; each character of the argument stands for one octet.
     */
    public static String encodePercent(String octets) {
        StringBuilder encoded = new StringBuilder(octets.length() + 8);
        for (int i = 0; i < octets.length(); i++) {
            char octet = octets.charAt(i);
            if (octet <= ' ' || octet > '~' || octet == '%' || octet == '?' || octet == '#') {
                encoded.append('%').append(HEX_DIGITS.charAt(octet >> 4 & 15)).append(HEX_DIGITS.charAt(octet & 15));
            } else {
                encoded.append(octet);
            }
        }
        return encoded.toString();
    }

    /** Returns the text of this key with another path, as a pool receives it. */
    public String withPath(String otherPath) {
        return host + otherPath + (query == null ? "" : "?" + query);
    }

    /** Returns the path and query as they were sent, like nginx's {@code $request_uri}. */
    public String requestUri() {
        return query == null ? rawPath : rawPath + "?" + query;
    }

    /** Returns the value of a query argument, whose name is compared without regard to case; null if there is none. */
    public String queryArgument(String name) {
        int start = 0;
        while (query != null && start <= query.length()) {
            int ampersand = query.indexOf('&', start);
            int end = ampersand < 0 ? query.length() : ampersand;
            if (end - start > name.length()
                    && query.charAt(start + name.length()) == '='
                    && query.regionMatches(true, start, name, 0, name.length())) {
                return query.substring(start + name.length() + 1, end);
            }
            start = end + 1;
        }
        return null;
    }
}
