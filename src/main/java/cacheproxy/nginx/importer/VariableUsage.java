package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.HttpModel;
import java.util.Set;

/**
 * Determines whether expressions depend on a request's host or query, also through variables of maps, splits and geos.
 */
final class VariableUsage {
    private static final Set<String> HOST_VARIABLES = Set.of("host", "http_host");
    private static final Set<String> QUERY_VARIABLES = Set.of("request_uri", "args", "query_string", "is_args");
    /** Directives whose parameters can affect the route of a request. */
    private static final Set<String> ROUTE_DIRECTIVES = Set.of("if", "proxy_pass", "set", "rewrite");

    private final HttpModel model;

    VariableUsage(HttpModel model) {
        this.model = model;
    }

    /** Whether an expression depends on the host. */
    boolean dependsOnHost(String text) {
        return dependsOn(Expression.of(text), false, 0);
    }

    /** Whether an expression depends on the query or a part of it. */
    boolean dependsOnQuery(String text) {
        return dependsOn(Expression.of(text), true, 0);
    }

    /** Whether the routes of a block depend on the host. */
    boolean blockDependsOnHost(Directive block) {
        for (Directive directive : block.block()) {
            boolean affectsRoutes = ROUTE_DIRECTIVES.contains(directive.name());
            if (affectsRoutes && directive.args().stream().anyMatch(this::dependsOnHost)) {
                return true;
            }
            if (directive.block() != null && blockDependsOnHost(directive)) {
                return true;
            }
        }
        return false;
    }

    private boolean dependsOn(Expression expression, boolean query, int depth) {
        return expression.parts().stream()
                .filter(Expression.Part::variable)
                .anyMatch(part -> variableDependsOn(part.text(), query, depth));
    }

    private boolean variableDependsOn(String name, boolean query, int depth) {
        boolean direct =
                query ? QUERY_VARIABLES.contains(name) || name.startsWith("arg_") : HOST_VARIABLES.contains(name);
        Directive definition = model.variables().get(name);
        return direct
                || (definition != null
                        && depth < ExpressionResolver.MAX_DEPTH
                        && dependsOn(Expression.of(definition.arg(0)), query, depth + 1));
    }
}
