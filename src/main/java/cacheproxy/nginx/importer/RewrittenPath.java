package cacheproxy.nginx.importer;

/**
 * The new path of a request after a {@code rewrite} or {@code try_files}.
 *
 * @param pattern the pattern whose groups the path contains; null: none
 * @param path the new path, made of literals and groups
 */
record RewrittenPath(String pattern, Expression path, Search search) {
    /** The state of the search for the location of the new path. */
    enum Search {
        PENDING,
        DONE,
        /** There is no search: the request stays in its current location. */
        SKIPPED
    }

    /** Returns this path with another state of the search. */
    RewrittenPath withSearch(Search newSearch) {
        return new RewrittenPath(pattern, path, newSearch);
    }

    /** Returns the path as the {@code replace} template of a route; null if routes can't express it. */
    String replacement() {
        return PathTemplates.replacement(path, pattern);
    }

    /** Returns conditions with this path's pattern moved to the front, as its groups require. */
    Conditions withPatternFirst(Conditions conditions) {
        return pattern == null ? conditions : conditions.withFirstPattern(pattern);
    }
}
