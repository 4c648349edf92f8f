package cacheproxy.config;

import cacheproxy.routes.KeyPattern;

/** Reads regular expressions for keys and hosts. */
final class KeyPatterns {
    private KeyPatterns() {}

    /** Compiles a pattern; null after an error, which names {@code key}. */
    static KeyPattern compile(TomlTableReader table, String key, String regex) {
        try {
            return new KeyPattern(regex);
        } catch (IllegalArgumentException e) {
            table.error(key, key + " can't be used: " + ConfigErrors.oneLine(e.getMessage()));
            return null;
        }
    }
}
