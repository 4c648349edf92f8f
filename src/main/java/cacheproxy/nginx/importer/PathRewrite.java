package cacheproxy.nginx.importer;

/**
 * How a route changes the path on its way to the pool. All null: not at all.
 *
 * @param stripped the prefix that is removed; null: none
 * @param added the text that is put in front; null: none
 * @param replacement the whole new path, with groups of the route's first pattern; null: none
 */
record PathRewrite(String stripped, String added, String replacement) {
    /** No change. */
    static final PathRewrite NONE = new PathRewrite(null, null, null);

    /** A new path in place of the old one. */
    static PathRewrite replaced(String replacement) {
        return new PathRewrite(null, null, replacement);
    }

    /** A text before the old path. */
    static PathRewrite added(String added) {
        return new PathRewrite(null, added, null);
    }

    /** A text in place of the beginning of the old path. */
    static PathRewrite ofPrefix(String stripped, String added) {
        return new PathRewrite(stripped.isEmpty() ? null : stripped, added, null);
    }
}
