package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.routes.PathKey;
import java.util.ArrayList;
import java.util.List;

/** Resolves variables that a {@code map} defines. */
final class MapResolver {
    /** A text that is in no entry of a map. */
    private static final String UNKNOWN_TEXT = "\0";

    private final ExpressionResolver resolver;
    private final Report report;

    MapResolver(ExpressionResolver resolver, Report report) {
        this.resolver = resolver;
        this.report = report;
    }

    /** Resolves the variable of a map. */
    List<Alternative> resolve(Directive map, VariableScope scope) throws UnsupportedDirectiveException {
        report.carried(map);
        List<Alternative> resolved = new ArrayList<>();
        for (Alternative source : resolver.resolve(Expression.of(map.arg(0)), scope.nested())) {
            for (Alternative value : valuesFor(source.value(), map, scope)) {
                Conditions combined = source.conditions().and(value.conditions());
                if (combined != null) {
                    resolved.add(new Alternative(combined, value.value()));
                }
            }
        }
        return resolved;
    }

    private List<Alternative> valuesFor(Expression source, Directive map, VariableScope scope)
            throws UnsupportedDirectiveException {
        MapTable table = new MapTable(map);
        if (source.isLiteral()) {
            return resolver.resolve(Expression.of(table.lookUp(source.literal())), scope.nested());
        }
        if (source.isVariable("uri", "document_uri", "request_uri")) {
            return valuesByPath(table, scope);
        }
        if (source.isVariable("host", "http_host")) {
            if (table.matchesHostsByPattern()) {
                report.notCarried(
                        map, "it matches hosts by pattern: hosts that are not named elsewhere get the default");
            }
            return resolver.resolve(Expression.of(table.lookUp("")), scope.nested());
        }
        String value = table.lookUp(UNKNOWN_TEXT);
        report.notCarried(map, source + " can't be known from keys: the default, '" + value + "', is taken for all");
        return resolver.resolve(Expression.of(value), scope.nested());
    }

    private List<Alternative> valuesByPath(MapTable table, VariableScope scope) throws UnsupportedDirectiveException {
        List<Alternative> values = new ArrayList<>();
        for (Directive entry : table.literalEntries()) {
            // nginx ignores case when it compares texts; keys contain some characters percent-encoded.
            String text = PathKey.encodePercent(MapTable.literalText(entry));
            Conditions conditions = Conditions.pattern("(?i)^" + RegexTranslation.quoted(text) + "$");
            values.addAll(resolver.resolveValue(entry.arg(0), conditions, scope));
        }
        for (Directive entry : table.regexEntries()) {
            RegexTranslation regex = RegexTranslation.ofMapEntry(entry.name());
            if (regex.isSupported()) {
                values.addAll(resolver.resolveValue(entry.arg(0), Conditions.pattern(regex.text()), scope));
            } else {
                report.notCarried(
                        table.map(),
                        "line " + entry.position().line() + ", " + entry.name() + " can't be expressed ("
                                + regex.reason() + "): its requests take the next value that matches");
            }
        }
        values.addAll(resolver.resolveValue(table.defaultValue(), Conditions.NONE, scope));
        return values;
    }
}
