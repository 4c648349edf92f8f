package cacheproxy.routes;

/**
 * How a route changes a key before a pool receives it: a prefix is removed, or the whole key is replaced by a text
 * built from the groups of a pattern; then a prefix may be added.
 */
public final class KeyRewrite {
    /** Leaves keys unchanged. */
    public static final KeyRewrite NONE = new KeyRewrite(null, null, null, null);

    /** Maximum length of a key in memcached's protocol, in octets. */
    private static final int MAX_KEY_LENGTH = 250;

    private final String strippedPrefix;
    private final KeyPattern pattern;
    private final KeyTemplate replacement;
    private final String addedPrefix;

    /**
     * Compiles a rewrite.
     *
     * @param strippedPrefix a prefix to remove from keys that have it; null: none
     * @param pattern the pattern whose groups the replacement refers to; null if it refers to none
     * @param replacement the new key, in the syntax of {@link KeyTemplate}; null: none
     * @param addedPrefix a prefix to add; null: none
     * @throws IllegalArgumentException if the replacement names a group that the pattern does not have
     */
    public KeyRewrite(String strippedPrefix, KeyPattern pattern, String replacement, String addedPrefix) {
        this.strippedPrefix = strippedPrefix;
        this.pattern = pattern;
        this.replacement =
                replacement == null ? null : new KeyTemplate(replacement, pattern == null ? 0 : pattern.groupCount());
        this.addedPrefix = addedPrefix;
    }

    /** Returns the key that the pool receives; null if servers don't accept it. */
    public String apply(String key) {
        if (this == NONE) {
            return key;
        }
        String rewritten =
                strippedPrefix != null && key.startsWith(strippedPrefix) ? key.substring(strippedPrefix.length()) : key;
        if (replacement != null) {
            rewritten = pattern == null ? replacement.literal() : replacement.expand(pattern, rewritten);
        }
        if (addedPrefix != null && rewritten != null) {
            rewritten = addedPrefix + rewritten;
        }
        return isLegalKey(rewritten) ? rewritten : null;
    }

    /** Returns whether servers accept this key: 1 to 250 printing ASCII characters, as in memcached's protocol. */
    public static boolean isLegalKey(String key) {
        if (key == null || key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            return false;
        }
        for (int i = 0; i < key.length(); i++) {
            if (key.charAt(i) <= ' ' || key.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }
}
