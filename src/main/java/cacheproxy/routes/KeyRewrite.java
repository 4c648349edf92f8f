package cacheproxy.routes;

/**
 * How a route changes the key before a pool sees it: a prefix comes off, or the whole key is made anew from a pattern's
 * groups; then a prefix may go on.
 */
public final class KeyRewrite {
    public static final KeyRewrite NONE = new KeyRewrite(null, null, null, null);

    private final String strip;
    private final KeyPattern pattern;
    private final KeyPattern.Template replace;
    private final String add;

    /**
     * @param strip a prefix to take off where the key has it; null: none
     * @param pattern what {@code replace} takes its groups from; null if there is none
     * @param replace the new key with {@code $1} and so on; null: none
     * @param add a prefix to put on; null: none
     */
    public KeyRewrite(String strip, KeyPattern pattern, String replace, String add) {
        this.strip = strip;
        this.pattern = pattern;
        this.replace =
                replace == null ? null : new KeyPattern.Template(replace, pattern == null ? 0 : pattern.groups());
        this.add = add;
    }

    /** The key as the pool gets it; null if no key comes of it that servers would take. */
    public String apply(String key) {
        if (this == NONE) {
            return key;
        }
        String k = strip != null && key.startsWith(strip) ? key.substring(strip.length()) : key;
        if (replace != null) {
            k = pattern == null ? replace.plain() : replace.apply(pattern, k);
        }
        if (add != null && k != null) {
            k = add + k;
        }
        return legal(k) ? k : null;
    }

    /** 1 to 250 printing ASCII characters, as in memcached's protocol. */
    public static boolean legal(String key) {
        if (key == null || key.isEmpty() || key.length() > 250) {
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
