package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import cacheproxy.routes.KeyRewrite;
import java.util.ArrayList;
import java.util.List;

/** Translates {@code proxy_pass} and {@code memcached_pass} to routes. */
final class ProxyPassTranslator {
    private static final String URI_TEMPLATE = "${uri}";

    private final ServerContext context;
    private final Report report;
    private final ForwardedPathTranslator pathTranslator;
    private final FallbackTranslator fallbackTranslator;

    ProxyPassTranslator(ServerContext context) {
        this.context = context;
        report = context.report();
        pathTranslator = new ForwardedPathTranslator();
        fallbackTranslator = new FallbackTranslator(context);
    }

    /**
     * Adds the routes of a directive.
     *
     * @param target the URL to which requests are passed
     * @param usesUri whether the path of the URL replaces the path of the request
     */
    void translate(Directive directive, Expression target, boolean usesUri, RequestState state) {
        List<Alternative> targets;
        try {
            targets = context.resolve(target, state);
        } catch (UnsupportedDirectiveException e) {
            report.notCarried(directive, "can't be expressed (" + e.getMessage() + "); these requests fail");
            context.routes().addFailing(state, directive, "502");
            return;
        }
        boolean hasVariables = !target.isLiteral();
        for (Alternative alternative : targets) {
            Conditions combined = context.combine(state.conditions(), alternative.conditions(), directive);
            if (combined != null) {
                addRouteTo(directive, alternative.value(), hasVariables, usesUri, state.withConditions(combined));
            }
        }
    }

    /** Adds the route to one target, whose variables are resolved as far as conditions allow. */
    private void addRouteTo(
            Directive directive, Expression target, boolean hasVariables, boolean usesUri, RequestState state) {
        ProxyTarget parsed = ProxyTarget.parse(target);
        if (parsed == null) {
            reject(
                    directive,
                    target.parts().isEmpty()
                            ? "for some requests it has no target; they fail"
                            : target + " can't be known from keys; these requests fail",
                    "502",
                    state);
            return;
        }
        if (parsed.encrypted()) {
            report.changed(directive, "connections to servers are not encrypted here");
        }
        if (!parsed.hasLiteralAuthority()) {
            reject(directive, target + " names a server that no key tells; these requests fail", "502", state);
            return;
        }
        PoolSpec pool = context.pools().poolFor(parsed.authority(), directive);
        if (pool == null) {
            context.routes().addFailing(state, directive, "502");
        } else {
            forward(directive, pool, usesUri ? parsed.uri() : Expression.EMPTY, hasVariables, state);
        }
    }

    private void reject(Directive directive, String reason, String status, RequestState state) {
        report.notCarried(directive, reason);
        context.routes().addFailing(state, directive, status);
    }

    private void forward(Directive directive, PoolSpec pool, Expression uri, boolean hasVariables, RequestState state) {
        ForwardedPath path = forwardedPath(directive, uri, hasVariables, state);
        if (path == null) {
            return;
        }
        String placeBy = null;
        RewrittenPath rewritten = state.rewritten();
        if (rewritten != null && pool.placeBy() != null && pool.placeBy().contains(URI_TEMPLATE)) {
            placeBy = placeByRewrittenPath(directive, pool, path, rewritten);
            path = placeBy == null
                    ? path
                    : new ForwardedPath(path.rewrite(), rewritten.withPatternFirst(path.conditions()));
        }
        List<String> pools = new ArrayList<>(List.of(pool.name()));
        String fallback = fallbackTranslator.fallbackPool(state.location(), pool.name());
        if (fallback != null) {
            pools.add(fallback);
        }
        context.routes().addForwarding(state, directive, path, pools, placeBy);
    }

    /** Returns the path that is forwarded to the pool; if there is none, adds a failing route and returns null. */
    private ForwardedPath forwardedPath(Directive directive, Expression uri, boolean hasVariables, RequestState state) {
        boolean replacesPrefix = !uri.parts().isEmpty() && !hasVariables;
        if (replacesPrefix && !hasReplaceablePrefix(state)) {
            reject(
                    directive,
                    "nginx refuses this: \"proxy_pass\" cannot have URI part in location given by regular expression, "
                            + "or inside named location, or inside \"if\" statement; these requests fail",
                    "500",
                    state);
            return null;
        }
        ForwardedPath path = pathTranslator.translate(uri, hasVariables, state);
        String added = path == null ? null : path.rewrite().added();
        if (path == null || (added != null && !KeyRewrite.isLegalKey(added))) {
            reject(directive, "the path that it makes can't be expressed; these requests fail", "502", state);
            return null;
        }
        return path;
    }

    /** Whether the location has a prefix that the path of the URL can replace. */
    private static boolean hasReplaceablePrefix(RequestState state) {
        Location.Kind kind = state.location().kind();
        return !kind.isRegex() && kind != Location.Kind.NAMED && state.handler() == null;
    }

    /**
     * Returns the text that a pool's placement hashes for a rewritten path. nginx hashes the path after the rewrite,
     * but before {@code proxy_pass} derives the path for the servers from it.
     *
     * @return null if routes can't express it, which is reported
     */
    private String placeByRewrittenPath(
            Directive directive, PoolSpec pool, ForwardedPath path, RewrittenPath rewritten) {
        boolean hasGroups = rewritten.pattern() == null
                ? rewritten.path().isLiteral()
                : path.conditions().patterns().contains(rewritten.pattern());
        if (rewritten.replacement() == null || !hasGroups) {
            report.notCarried(
                    directive, "the path that nginx hashes can't be expressed here; keys may move to other servers");
            return null;
        }
        String hashedPath = PathTemplates.placementText(rewritten.path(), rewritten.pattern());
        return pool.placeBy().replace(URI_TEMPLATE, hashedPath);
    }
}
