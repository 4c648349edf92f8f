package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.HttpModel;
import java.util.ArrayList;
import java.util.List;

/**
 * Resolves expressions to a list of alternative values. The first alternative whose conditions hold gives the value.
 * The last one adds no conditions to those that the request already meets.
 */
final class ExpressionResolver {
    /** The maximum depth of variables that are defined by other variables. */
    static final int MAX_DEPTH = 8;

    private static final int MAX_ALTERNATIVES = 2000;

    private final HttpModel model;
    private final Report report;
    private final MapResolver maps;
    private final SplitClientsResolver splits;

    ExpressionResolver(HttpModel model, Report report) {
        this.model = model;
        this.report = report;
        maps = new MapResolver(this, report);
        splits = new SplitClientsResolver(this, report);
    }

    /**
     * Resolves an expression.
     *
     * @throws UnsupportedDirectiveException if it has too many values, or if routes can't express their conditions
     */
    List<Alternative> resolve(Expression expression, VariableScope scope) throws UnsupportedDirectiveException {
        if (scope.depth() > MAX_DEPTH) {
            throw new UnsupportedDirectiveException("variables refer to each other more than " + MAX_DEPTH + " deep");
        }
        List<Alternative> resolved = List.of(new Alternative(Conditions.NONE, Expression.EMPTY));
        for (Expression.Part part : expression.parts()) {
            List<Alternative> partAlternatives = part.variable()
                    ? resolveVariable(part.text(), scope)
                    : List.of(new Alternative(Conditions.NONE, new Expression(List.of(part))));
            if (resolved.size() * (long) partAlternatives.size() > MAX_ALTERNATIVES) {
                throw new UnsupportedDirectiveException("more than " + MAX_ALTERNATIVES + " cases");
            }
            resolved = concatenated(resolved, partAlternatives);
        }
        return resolved;
    }

    /**
     * Resolves the value of a variable for requests that meet these conditions.
     *
     * @param scope the scope of the variable
     */
    List<Alternative> resolveValue(String text, Conditions conditions, VariableScope scope)
            throws UnsupportedDirectiveException {
        List<Alternative> resolved = new ArrayList<>();
        for (Alternative alternative : resolve(Expression.of(text), scope.nested())) {
            Conditions combined = conditions.and(alternative.conditions());
            if (combined != null) {
                resolved.add(new Alternative(combined, alternative.value()));
            }
        }
        return resolved;
    }

    private static List<Alternative> concatenated(List<Alternative> heads, List<Alternative> tails)
            throws UnsupportedDirectiveException {
        List<Alternative> concatenated = new ArrayList<>();
        for (Alternative head : heads) {
            for (Alternative tail : tails) {
                Conditions combined = head.conditions().and(tail.conditions());
                if (combined != null) {
                    List<Expression.Part> parts = new ArrayList<>(head.value().parts());
                    parts.addAll(tail.value().parts());
                    concatenated.add(new Alternative(combined, Expression.joined(parts)));
                }
            }
        }
        return concatenated;
    }

    private List<Alternative> resolveVariable(String name, VariableScope scope) throws UnsupportedDirectiveException {
        Expression value = scope.variables().get(name);
        if (value != null) {
            return resolve(value, scope.nested());
        }
        if (scope.host() != null && (name.equals("host") || name.equals("http_host"))) {
            return List.of(new Alternative(Conditions.NONE, Expression.of(scope.host())));
        }
        Directive definition = model.variables().get(name);
        if (definition == null) {
            Expression unresolved = new Expression(List.of(new Expression.Part(true, name)));
            return List.of(new Alternative(Conditions.NONE, unresolved));
        }
        return switch (definition.name()) {
            case "map" -> maps.resolve(definition, scope);
            case "split_clients" -> splits.resolve(definition, scope);
            default -> resolveGeo(definition, scope);
        };
    }

    private List<Alternative> resolveGeo(Directive geo, VariableScope scope) throws UnsupportedDirectiveException {
        report.notCarried(geo, "client addresses can't be known from keys: the default is taken for all");
        String defaultValue = geo.childrenNamed("default").stream()
                .findFirst()
                .map(entry -> entry.arg(0))
                .orElse("");
        return resolve(Expression.of(defaultValue), scope.nested());
    }
}
