package cacheproxy.nginx.importer;

import java.util.Set;

/** Variables whose value is the path or the query of a request. */
final class PathVariables {
    private static final Set<String> PATH = Set.of("uri", "request_uri", "document_uri");
    private static final Set<String> QUERY = Set.of("is_args", "args", "query_string");

    private PathVariables() {}

    /** Whether a variable is the path, with or without the query. */
    static boolean isPath(String name) {
        return PATH.contains(name);
    }

    /** Whether a variable is the query, or the question mark before it. */
    static boolean isQuery(String name) {
        return QUERY.contains(name);
    }
}
