package cacheproxy.routes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A key that is a URI without its scheme: {@code host/path?query}, of which host and query may be missing. The path is
 * normalised as HTTP proxies do (RFC 3986, section 6.2.2; nginx's documentation of {@code location}): escapes are
 * decoded, {@code .} and {@code ..} resolved, adjacent slashes made one. Bytes that no key can have, and {@code %},
 * {@code ?} and {@code #}, stay escaped, so that equal paths are equal texts and normalising twice changes nothing.
 *
 * @param host in lower case; empty where the key begins with its path
 * @param raw the path as it was sent, without the query
 * @param path normalised
 * @param query what follows the first question mark; null where there is none
 */
public record PathKey(String host, String raw, String path, String query) {
    private static final String HEX = "0123456789ABCDEF";

    /** Null if no such path can be: a broken escape, or more {@code ..} than there is to go up. */
    public static PathKey of(String key) {
        int slash = key.indexOf('/');
        int question = key.indexOf('?');
        // A slash behind a question mark is the query's.
        String host = slash <= 0 || (question >= 0 && question < slash) ? "" : host(key.substring(0, slash));
        int start = host.isEmpty() ? 0 : slash;
        int hash = key.indexOf('#', start);
        int end = hash < 0 ? key.length() : hash;
        int query = question >= 0 && question < end ? question : end;
        String raw = key.substring(start, query);
        String path = normal(raw);
        return path == null ? null : new PathKey(host, raw, path, query < end ? key.substring(query + 1, end) : null);
    }

    private static String host(String text) {
        String h = text.toLowerCase(Locale.ROOT);
        int colon = h.lastIndexOf(':');
        if (colon > 0
                && h.indexOf(']', colon) < 0
                && h.substring(colon + 1).chars().allMatch(c -> c >= '0' && c <= '9')) {
            h = h.substring(0, colon);
        }
        return h.endsWith(".") && h.length() > 1 ? h.substring(0, h.length() - 1) : h;
    }

    private static String normal(String raw) {
        if (raw.indexOf('%') < 0 && !raw.contains("//") && !raw.contains("/.")) {
            return raw;
        }
        byte[] bytes = decode(raw);
        if (bytes == null) {
            return null;
        }
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        if (!text.startsWith("/")) {
            return encode(text);
        }
        List<String> parts = new ArrayList<>();
        boolean open = false; // whether the path ends in a slash
        for (String part : text.substring(1).split("/", -1)) {
            open = part.isEmpty() || part.equals(".") || part.equals("..");
            if (part.equals("..")) {
                if (parts.isEmpty()) {
                    return null;
                }
                parts.remove(parts.size() - 1);
            } else if (!open) {
                parts.add(part);
            }
        }
        return encode("/" + String.join("/", parts) + (open && !parts.isEmpty() ? "/" : ""));
    }

    /** The bytes that a text with escapes stands for; null if an escape is broken or is that of NUL. */
    public static byte[] decode(String text) {
        byte[] out = new byte[text.length()];
        int n = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '%') {
                out[n++] = (byte) c;
                continue;
            }
            boolean whole = i + 2 < text.length();
            int high = whole ? Character.digit(text.charAt(i + 1), 16) : -1;
            int low = whole ? Character.digit(text.charAt(i + 2), 16) : -1;
            if (high < 0 || low < 0 || high + low == 0) {
                return null;
            }
            out[n++] = (byte) (high << 4 | low);
            i += 2;
        }
        return java.util.Arrays.copyOf(out, n);
    }

    /** Escapes what a path's text may not have; each char is one byte. */
    public static String encode(String bytes) {
        StringBuilder out = new StringBuilder(bytes.length() + 8);
        for (int i = 0; i < bytes.length(); i++) {
            char c = bytes.charAt(i);
            if (c <= ' ' || c > '~' || c == '%' || c == '?' || c == '#') {
                out.append('%').append(HEX.charAt(c >> 4 & 15)).append(HEX.charAt(c & 15));
            } else {
                out.append(c);
            }
        }
        return out.toString();
    }

    /** The same request with another path: what a pool gets. */
    public String with(String other) {
        return host + other + (query == null ? "" : "?" + query);
    }

    /** The path and query as they were sent, like nginx's {@code $request_uri}. */
    public String request() {
        return query == null ? raw : raw + "?" + query;
    }

    /** An argument of the query by its name, whose case is ignored; null where there is none. */
    public String argument(String name) {
        for (int at = 0; query != null && at <= query.length(); ) {
            int end = query.indexOf('&', at);
            end = end < 0 ? query.length() : end;
            if (end - at > name.length()
                    && query.charAt(at + name.length()) == '='
                    && query.regionMatches(true, at, name, 0, name.length())) {
                return query.substring(at + name.length() + 1, end);
            }
            at = end + 1;
        }
        return null;
    }
}
