package cacheproxy.nginx.importer;

/**
 * How a route changes the path that it forwards to the pool. If all components are null, the path is unchanged.
 *
 * @param stripped the prefix that is removed; null: none
 * @param added the text that is prepended; null: none
 * @param replacement the whole new path, with groups of the route's first pattern; null: none
 */
record PathRewrite(String stripped, String added, String replacement) {
    /** No change. */
    static final PathRewrite NONE = new PathRewrite(null, null, null);

    /** Replaces the whole path. */
    static PathRewrite replaced(String replacement) {
        return new PathRewrite(null, null, replacement);
    }

    /** Prepends a text to the path. */
    static PathRewrite added(String added) {
        return new PathRewrite(null, added, null);
    }

    /** Replaces a prefix of the path by another text. */
    static PathRewrite ofPrefix(String stripped, String added) {
        return new PathRewrite(stripped.isEmpty() ? null : stripped, added, null);
    }
}
