package cacheproxy.nginx.importer;

/**
 * A path that a {@code rewrite} or {@code try_files} has made.
 *
 * @param pattern the pattern whose groups it contains; null: none
 * @param path literals and groups
 */
record RewrittenPath(String pattern, Expression path, Search search) {
    /** Whether a location is searched for the new path. */
    enum Search {
        PENDING,
        DONE,
        /** The request stays in the location that it was in. */
        SKIPPED
    }

    /** The same with another state of the search. */
    RewrittenPath withSearch(Search newSearch) {
        return new RewrittenPath(pattern, path, newSearch);
    }

    /** The path as the {@code replace} of a route; null if routes can't express it. */
    String replacement() {
        return PathTemplates.replacement(path, pattern);
    }

    /** Conditions with the pattern in front, as the groups of the path require. */
    Conditions withPatternFirst(Conditions conditions) {
        return pattern == null ? conditions : conditions.withFirstPattern(pattern);
    }
}
