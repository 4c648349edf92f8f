package cacheproxy.config;

import cacheproxy.routes.KeyPattern;

/** Reads regular expressions for keys and hosts. */
final class KeyPatterns {
    private KeyPatterns() {}

    /** Compiles a pattern; returns null after reporting an error at {@code key}. */
    static KeyPattern compile(TomlTableReader table, String key, String regex) {
        try {
            return new KeyPattern(regex);
        } catch (IllegalArgumentException e) {
            table.error(key, key + " can't be used: " + ConfigErrors.oneLine(e.getMessage()));
            return null;
        }
    }
}
