package cacheproxy.routes;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;

/**
 * A regular expression for keys, in the syntax of RE2, which has neither back-references nor look-around and runs in
 * time linear in the length of the key. It may match anywhere in the key unless it is anchored.
 */
public final class KeyPattern {
    /** Maximum length of an expression, in characters. */
    public static final int MAX_LENGTH = 1000;
    /** Maximum number of instructions of a compiled expression; nested repetitions multiply them. */
    private static final int MAX_PROGRAM_SIZE = 20_000;
    /** Characters besides letters and digits that have no special meaning in an expression. */
    private static final String PLAIN_CHARACTERS = "/_-:%~@,=&";

    private static final String QUANTIFIERS_FROM_ZERO = "?*{";

    private final Pattern pattern;
    private final String requiredPrefix;

    /**
     * Compiles an expression.
     *
     * @throws IllegalArgumentException if it is too long, not valid, or too large when compiled
     */
    public KeyPattern(String text) {
        if (text.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("a pattern may have at most " + MAX_LENGTH + " characters");
        }
        try {
            pattern = Pattern.compile(text);
        } catch (PatternSyntaxException e) {
            throw new IllegalArgumentException(
                    e.getDescription() + (e.getPattern().isEmpty() ? "" : ": " + e.getPattern())
                            + "; patterns have the syntax of RE2, without back-references and look-around",
                    e);
        }
        if (pattern.programSize() > MAX_PROGRAM_SIZE) {
            throw new IllegalArgumentException("with its repetitions, the pattern compiles to " + pattern.programSize()
                    + " instructions; at most " + MAX_PROGRAM_SIZE + " are allowed");
        }
        requiredPrefix = requiredPrefix(text);
    }

    /** Returns the plain characters after a leading {@code ^}, up to the first that may have a special meaning. */
    private static String requiredPrefix(String text) {
        if (!text.startsWith("^") || text.indexOf('|') >= 0) {
            return "";
        }
        int end = 1;
        while (end < text.length() && isPlain(text.charAt(end))) {
            end++;
        }
        boolean lastIsOptional = end < text.length() && QUANTIFIERS_FROM_ZERO.indexOf(text.charAt(end)) >= 0;
        return text.substring(1, Math.max(1, lastIsOptional ? end - 1 : end));
    }

    private static boolean isPlain(char character) {
        return Character.isLetterOrDigit(character) || PLAIN_CHARACTERS.indexOf(character) >= 0;
    }

    /** The expression as it was written. */
    public String text() {
        return pattern.pattern();
    }

    /** The number of capturing groups. */
    public int groupCount() {
        return pattern.groupCount();
    }

    /** Returns the prefix of every key that the pattern matches; empty if none is known. */
    String requiredPrefix() {
        return requiredPrefix;
    }

    /** Returns whether the pattern matches a key. */
    public boolean matches(String key) {
        return key.startsWith(requiredPrefix) && pattern.matcher(key).find();
    }

    /** Returns the matcher at the first match of the pattern in a key; null if there is none. */
    Matcher findFirst(String key) {
        Matcher matcher = pattern.matcher(key);
        return matcher.find() ? matcher : null;
    }

    /**
     * Returns the text of a capturing group; null if the pattern does not match the key or the group has no match in
     * it.
     */
    String group(String key, int group) {
        Matcher matcher = findFirst(key);
        return matcher != null && group <= matcher.groupCount() ? matcher.group(group) : null;
    }
}
