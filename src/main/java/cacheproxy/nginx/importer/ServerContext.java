package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import cacheproxy.nginx.model.LocationSearch;
import cacheproxy.nginx.model.ServerBlock;
import java.util.List;
import java.util.Set;

/**
 * Data shared by all phases of the translation of one server.
 *
 * @param host the only host of its requests; null: any host except those that are known by name
 * @param errorPages the {@code error_page}s that the server's locations inherit
 * @param routes collects the routes
 */
record ServerContext(
        ServerBlock server,
        String host,
        LocationSearch search,
        LocationPatterns patterns,
        List<Directive> errorPages,
        ExpressionResolver resolver,
        PoolTranslator pools,
        RouteSink routes,
        Report report) {
    private static final Set<String> REWRITE_DIRECTIVES = Set.of("set", "if", "rewrite", "return", "break");

    /** Returns the directives of a block that nginx's rewrite phase executes, in order. */
    static List<Directive> rewriteDirectives(Directive block) {
        return block.block().stream()
                .filter(directive -> REWRITE_DIRECTIVES.contains(directive.name()))
                .toList();
    }

    /** Returns the values that an expression can have for a request. */
    List<Alternative> resolve(Expression expression, RequestState state) throws UnsupportedDirectiveException {
        return resolver.resolve(expression, VariableScope.of(state.variables(), host));
    }

    /**
     * Returns conditions that require both; null if no request meets both, or if routes can't express them, which is
     * reported.
     *
     * @param directive the directive to report
     */
    Conditions combine(Conditions left, Conditions right, Directive directive) {
        try {
            return left.and(right);
        } catch (UnsupportedDirectiveException e) {
            report.notCarried(directive, "can't be expressed: " + e.getMessage());
            return null;
        }
    }

    /** Returns the server's location with a name such as {@code @fallback}; null if there is none. */
    Location namedLocation(String name) {
        return server.locations().stream()
                .filter(location -> location.kind() == Location.Kind.NAMED
                        && location.text().equals(name))
                .findFirst()
                .orElse(null);
    }
}
