package cacheproxy.routes;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.ArrayList;
import java.util.List;

/**
 * A regular expression on keys, in RE2's syntax: time linear in the key, whatever the expression, but no
 * back-references and no look-around. It is found anywhere in the key unless it is anchored.
 */
public final class KeyPattern {
    /** An expression's text may be so long; bounds what a compiled one takes. */
    public static final int MAX_LENGTH = 1000;
    /** Bounds what compiled repetitions such as {@code (a{1000}){1000}} take; RE2 itself refuses more than 1,000. */
    static final int MAX_PROGRAM = 20_000;

    private final Pattern pattern;
    /** What a key must begin with; empty if that can't be told from the expression. */
    private final String literal;

    /** Compiles; an IllegalArgumentException says why it can't be. */
    public KeyPattern(String text) {
        if (text.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("a pattern has " + MAX_LENGTH + " characters at most");
        }
        try {
            pattern = Pattern.compile(text);
        } catch (PatternSyntaxException e) {
            throw new IllegalArgumentException(
                    e.getDescription() + (e.getPattern().isEmpty() ? "" : ": " + e.getPattern())
                            + "; patterns are RE2's, without back-references and look-around");
        }
        if (pattern.programSize() > MAX_PROGRAM) {
            throw new IllegalArgumentException("the pattern's repetitions make " + pattern.programSize()
                    + " instructions of it, " + MAX_PROGRAM + " at most");
        }
        literal = literal(text);
    }

    /** The plain characters behind a leading {@code ^}, up to the first that may mean something else. */
    private static String literal(String text) {
        if (!text.startsWith("^") || text.indexOf('|') >= 0) {
            return "";
        }
        int end = 1;
        while (end < text.length()
                && (Character.isLetterOrDigit(text.charAt(end)) || "/_-:%~@,=&".indexOf(text.charAt(end)) >= 0)) {
            end++;
        }
        // A following ? * or { makes the last character optional.
        boolean optional = end < text.length() && "?*{".indexOf(text.charAt(end)) >= 0;
        return text.substring(1, Math.max(1, optional ? end - 1 : end));
    }

    public String text() {
        return pattern.pattern();
    }

    public int groups() {
        return pattern.groupCount();
    }

    /** What every key begins with in which it is found; empty where that can't be told. */
    String literal() {
        return literal;
    }

    public boolean matches(String key) {
        return key.startsWith(literal) && pattern.matcher(key).find();
    }

    /** A group's text; null if the pattern is not found or the group took no part. */
    String group(String key, int group) {
        Matcher m = pattern.matcher(key);
        return m.find() && group <= m.groupCount() ? m.group(group) : null;
    }

    /** A key made from the groups of a match: literal parts and {@code $0} to {@code $9}, {@code $$} for a dollar. */
    static final class Template {
        private final List<Object> parts = new ArrayList<>();

        /** An IllegalArgumentException names a group that the pattern does not have. */
        Template(String text, int groups) {
            StringBuilder plain = new StringBuilder();
            for (int i = 0; i < text.length(); i++) {
                char c = text.charAt(i);
                if (c != '$') {
                    plain.append(c);
                    continue;
                }
                char next = i + 1 < text.length() ? text.charAt(++i) : ' ';
                if (next == '$') {
                    plain.append('$');
                } else if (next >= '0' && next <= '9' && next - '0' <= groups) {
                    parts.add(plain.toString());
                    parts.add(next - '0');
                    plain.setLength(0);
                } else {
                    throw new IllegalArgumentException("'$" + next + "' names no group of the pattern, which has "
                            + groups + "; a dollar itself is $$");
                }
            }
            parts.add(plain.toString());
        }

        /** The new key where no pattern has groups for it. */
        String plain() {
            return (String) parts.get(parts.size() - 1);
        }

        /** The new key, or null if the pattern is not found in this one. */
        String apply(KeyPattern by, String key) {
            Matcher m = by.pattern.matcher(key);
            if (!m.find()) {
                return null;
            }
            StringBuilder out = new StringBuilder();
            for (Object part : parts) {
                String s = part instanceof Integer g ? m.group(g) : (String) part;
                out.append(s == null ? "" : s);
            }
            return out.toString();
        }
    }
}
