package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Translates the rewrite directives of a server or location, and continues with the phases after them. */
final class RewritePhase {
    private final ServerContext context;
    private final Report report;
    private final IfTranslator ifTranslator;
    private final LocationPhase locationPhase;

    RewritePhase(ServerContext context) {
        this.context = context;
        report = context.report();
        ifTranslator = new IfTranslator(context, this);
        locationPhase = new LocationPhase(context, this);
    }

    /** Continues with these directives, and then with the phases that follow them. */
    void run(List<Directive> directives, RequestState state) {
        if (directives.isEmpty()) {
            locationPhase.afterRewrite(state);
            return;
        }
        Directive directive = directives.get(0);
        List<Directive> rest = directives.subList(1, directives.size());
        try {
            switch (directive.name()) {
                case "set" -> run(rest, applySet(directive, state));
                case "return" -> translateReturn(directive, state);
                case "break" -> translateBreak(directive, state);
                case "rewrite" -> translateRewrite(directive, rest, state);
                case "if" -> ifTranslator.translate(directive, rest, state);
                default -> run(rest, state);
            }
        } catch (UnsupportedDirectiveException e) {
            report.notCarried(
                    directive,
                    "can't be expressed (" + e.getMessage() + "); its requests are taken as if it were not there");
            run(rest, state);
        }
    }

    private RequestState applySet(Directive directive, RequestState state) {
        report.carried(directive);
        String variable = directive.arg(0);
        String name = variable.startsWith("$") ? variable.substring(1) : variable;
        return state.withVariable(name, substituted(Expression.of(directive.arg(1)), state.variables()));
    }

    /** Replaces variables in an expression by their current values, so that a later {@code set} does not change it. */
    private static Expression substituted(Expression expression, Map<String, Expression> variables) {
        List<Expression.Part> parts = new ArrayList<>();
        for (Expression.Part part : expression.parts()) {
            Expression value = part.variable() ? variables.get(part.text()) : null;
            parts.addAll(value == null ? List.of(part) : value.parts());
        }
        return Expression.joined(parts);
    }

    private void translateBreak(Directive directive, RequestState state) {
        report.carried(directive);
        RewrittenPath rewritten = state.rewritten();
        locationPhase.afterRewrite(
                rewritten == null ? state : state.withRewritten(rewritten.withSearch(RewrittenPath.Search.SKIPPED)));
    }

    private void translateReturn(Directive directive, RequestState state) {
        String status = directive.arg(0).matches("[0-9]+") ? directive.arg(0) : "302";
        boolean rejects = status.equals("503") || status.equals("429");
        switch (status.charAt(0)) {
            case '2' -> report.notCarried(directive, "nginx answers these requests itself; here they fail");
            case '3' -> reportRedirect(directive);
            default ->
                report.changed(
                        directive,
                        rejects
                                ? "these requests are refused, with a time after which to retry"
                                : "these requests fail, without a status");
        }
        RouteSpec.Outcome outcome = rejects ? RouteSpec.Outcome.REJECT : RouteSpec.Outcome.FAIL;
        context.routes().addTerminal(state, directive, outcome, status);
    }

    private void reportRedirect(Directive directive) {
        report.notCarried(
                directive, "nginx redirects these requests; here they fail, so clients must ask for the other key");
    }

    private void translateRewrite(Directive directive, List<Directive> rest, RequestState state)
            throws UnsupportedDirectiveException {
        RegexTranslation regex = RegexTranslation.of(directive.arg(0), false);
        if (!regex.isSupported()) {
            report.notCarried(
                    directive,
                    "pattern can't be expressed (" + regex.reason() + "): requests are taken as if it did not match");
            run(rest, state);
            return;
        }
        if (state.rewritten() != null) {
            report.notCarried(directive, "a second change of the same path can't be expressed; it is not made");
            run(rest, state);
            return;
        }
        Conditions combined = state.conditions().and(Conditions.pattern(regex.text()));
        if (combined == null) {
            run(rest, state);
            return;
        }
        RequestState matched = state.withConditions(combined).withCaptures(regex.text());
        if (isRedirect(directive)) {
            reportRedirect(directive);
            context.routes().addFailing(matched, directive, "302");
        } else {
            rewriteMatched(directive, rest, matched, regex.text());
        }
        boolean allMatch = state.conditions().patterns().contains(regex.text());
        if (!allMatch) {
            run(rest, state);
        }
    }

    private static boolean isRedirect(Directive directive) {
        String flag = directive.arg(2);
        return flag.equals("redirect")
                || flag.equals("permanent")
                || directive.arg(1).matches("(?i)(https?://|\\$scheme).*");
    }

    private void rewriteMatched(Directive directive, List<Directive> rest, RequestState matched, String pattern)
            throws UnsupportedDirectiveException {
        String target = directive.arg(1);
        String flag = directive.arg(2);
        int question = target.indexOf('?');
        if (question >= 0 && question < target.length() - 1) {
            report.changed(directive, "the query that it adds is left out");
        }
        String targetPath = question < 0 ? target : target.substring(0, question);
        List<Alternative> paths = context.resolve(Expression.of(targetPath), matched);
        report.carried(directive);
        boolean staysInLocation = flag.equals("break") && matched.location() != null;
        RewrittenPath rewritten = new RewrittenPath(
                pattern,
                paths.get(0).value(),
                staysInLocation ? RewrittenPath.Search.SKIPPED : RewrittenPath.Search.PENDING);
        if (paths.size() > 1 || rewritten.replacement() == null) {
            report.notCarried(directive, "its path depends on more than groups of its pattern; these requests fail");
            context.routes().addFailing(matched, directive, "500");
        } else if (flag.equals("break") || flag.equals("last")) {
            locationPhase.afterRewrite(matched.withRewritten(rewritten));
        } else {
            run(rest, matched.withRewritten(rewritten));
        }
    }
}
