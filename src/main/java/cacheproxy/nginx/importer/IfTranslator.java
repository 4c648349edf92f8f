package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.PathKey;
import java.util.ArrayList;
import java.util.List;

/** Translates {@code if}: follows both branches if the condition depends on the request, otherwise the one taken. */
final class IfTranslator {
    private static final List<String> READ_METHODS = List.of("GET", "HEAD");
    private static final List<String> WRITE_METHODS = List.of("POST", "PUT", "DELETE", "PATCH");

    private final ServerContext context;
    private final Report report;
    private final RewritePhase rewritePhase;

    IfTranslator(ServerContext context, RewritePhase rewritePhase) {
        this.context = context;
        report = context.report();
        this.rewritePhase = rewritePhase;
    }

    /**
     * The requirement that a condition makes of a request.
     *
     * @param negated whether the condition holds if the request does not meet {@code conditions}
     * @param captures the pattern whose groups are set if the condition holds; null: none
     */
    private record Requirement(Conditions conditions, boolean negated, String captures) {}

    /**
     * The two branches of an {@code if}.
     *
     * @param taken the directives of its block and those after the {@code if}
     * @param skipped the directives after the {@code if}
     * @param handler the {@code proxy_pass} of its block; null: none
     */
    private record Branches(List<Directive> taken, List<Directive> skipped, Directive handler) {
        static Branches of(Directive directive, List<Directive> rest) {
            List<Directive> taken = new ArrayList<>(ServerContext.rewriteDirectives(directive));
            taken.addAll(rest);
            Directive handler = directive.lastChildNamed("proxy_pass");
            return new Branches(taken, rest, handler != null ? handler : directive.lastChildNamed("memcached_pass"));
        }

        RequestState withBlockHandler(RequestState state) {
            return handler == null ? state : state.withHandler(handler);
        }
    }

    /** Translates an {@code if} and the directives after it. */
    void translate(Directive directive, List<Directive> rest, RequestState state) throws UnsupportedDirectiveException {
        IfCondition condition = IfCondition.of(directive);
        List<Alternative> values =
                condition.left().startsWith("$") ? context.resolve(Expression.of(condition.left()), state) : List.of();
        if (values.isEmpty() || !condition.isComparison()) {
            skipUndecidable(directive, condition, rest, state);
            return;
        }
        Branches branches = Branches.of(directive, rest);
        if (values.stream().allMatch(value -> value.value().isLiteral())) {
            followKnownValues(directive, condition, values, branches, state);
            return;
        }
        Requirement requirement = values.size() == 1 && condition.hasOperator()
                ? requirement(values.get(0).value(), condition, directive)
                : null;
        boolean testsRewrittenPath = requirement != null
                && state.rewritten() != null
                && !requirement.conditions.patterns().isEmpty();
        if (requirement == null || testsRewrittenPath) {
            skipUndecidable(directive, condition, rest, state);
        } else {
            followRequirement(directive, requirement, branches, state);
        }
    }

    private void skipUndecidable(Directive directive, IfCondition condition, List<Directive> rest, RequestState state) {
        report.notCarried(
                directive,
                "whether (" + condition.text()
                        + ") holds can't be known from keys: requests are taken as if it did not");
        rewritePhase.run(rest, state);
    }

    private void followKnownValues(
            Directive directive, IfCondition condition, List<Alternative> values, Branches branches, RequestState state)
            throws UnsupportedDirectiveException {
        report.carried(directive);
        for (Alternative value : values) {
            Conditions combined = state.conditions().and(value.conditions());
            boolean holds = holds(value.value().literal(), condition, directive);
            if (combined == null) {
                continue;
            }
            RequestState next = state.withConditions(combined);
            if (holds) {
                rewritePhase.run(branches.taken, branches.withBlockHandler(next));
            } else {
                rewritePhase.run(branches.skipped, next);
            }
        }
    }

    private void followRequirement(Directive directive, Requirement requirement, Branches branches, RequestState state)
            throws UnsupportedDirectiveException {
        report.carried(directive);
        Conditions combined = state.conditions().and(requirement.conditions);
        if (combined != null && requirement.negated) {
            rewritePhase.run(branches.skipped, state.withConditions(combined));
            rewritePhase.run(branches.taken, branches.withBlockHandler(state));
            return;
        }
        if (combined != null) {
            RequestState taken = branches.withBlockHandler(state).withConditions(combined);
            rewritePhase.run(
                    branches.taken, requirement.captures == null ? taken : taken.withCaptures(requirement.captures));
        }
        rewritePhase.run(branches.skipped, state);
    }

    /** Whether a condition holds for a known value; a condition that can't be expressed does not hold. */
    private boolean holds(String value, IfCondition condition, Directive directive) {
        if (!condition.hasOperator()) {
            return !value.isEmpty() && !value.equals("0");
        }
        if (condition.isEquality()) {
            return value.equals(condition.right()) != condition.isNegated();
        }
        if (!condition.isMatch()) {
            return false;
        }
        RegexTranslation regex = condition.regex();
        if (!regex.isSupported()) {
            report.notCarried(
                    directive, "pattern can't be expressed (" + regex.reason() + "): taken as if it did not match");
            return false;
        }
        return new KeyPattern(regex.text()).matches(value) != condition.isNegated();
    }

    /** Returns what a condition on the method or the path requires; null if routes can't express it. */
    private Requirement requirement(Expression left, IfCondition condition, Directive directive) {
        if (left.isVariable("request_method")) {
            return methodRequirement(condition, directive);
        }
        if (left.isVariable("uri", "document_uri", "request_uri")) {
            return pathRequirement(left, condition, directive);
        }
        return null;
    }

    private Requirement methodRequirement(IfCondition condition, Directive directive) {
        List<String> reads = READ_METHODS.stream()
                .filter(method -> holds(method, condition, directive))
                .toList();
        List<String> writes = WRITE_METHODS.stream()
                .filter(method -> holds(method, condition, directive))
                .toList();
        boolean onlyWrites = reads.isEmpty() && !writes.isEmpty();
        boolean onlyReads = reads.contains("GET") && writes.isEmpty();
        if (!onlyWrites && !onlyReads) {
            return null;
        }
        boolean all = onlyReads ? reads.equals(READ_METHODS) : writes.equals(WRITE_METHODS);
        if (!all) {
            report.changed(
                    directive,
                    "only reads and writes are distinguished here, not methods: it applies to all "
                            + (onlyReads ? "reads" : "writes"));
        }
        return new Requirement(Conditions.write(onlyWrites), false, null);
    }

    private Requirement pathRequirement(Expression left, IfCondition condition, Directive directive) {
        if (left.isVariable("request_uri")) {
            report.changed(directive, "compared with the path, without the query");
        }
        boolean negated = condition.isNegated();
        if (condition.isEquality()) {
            String path = RegexTranslation.quoted(PathKey.encodePercent(condition.right()));
            return new Requirement(Conditions.pattern("^" + path + "$"), negated, null);
        }
        RegexTranslation regex = condition.regex();
        if (!regex.isSupported()) {
            report.notCarried(directive, "pattern can't be expressed: " + regex.reason());
            return null;
        }
        return new Requirement(Conditions.pattern(regex.text()), negated, negated ? null : regex.text());
    }
}
