package cacheproxy.nginx.importer;

import cacheproxy.nginx.model.Location;
import cacheproxy.routes.PathKey;
import java.util.ArrayList;
import java.util.List;

/** Determines the path that a {@code proxy_pass} sends to the pool. */
final class ForwardedPathTranslator {
    /**
     * Translates the path of one route.
     *
     * @param uri the path of the URL; empty if the URL has none
     * @param hasVariables whether the URL was written with variables; its path is then the whole new path
     * @return null if routes can't express the path
     */
    ForwardedPath translate(Expression uri, boolean hasVariables, RequestState state) {
        boolean hasUri = !uri.parts().isEmpty();
        if (hasUri && hasVariables) {
            return pathFromVariables(uri, state);
        }
        if (state.rewritten() != null) {
            return hasUri ? rewrittenWithPrefix(uri, state) : rewritten(state.rewritten(), state.conditions());
        }
        String prefix = state.location().text();
        // "location /a/" with "proxy_pass http://u/a/" changes nothing.
        boolean changes = hasUri && !uri.literal().equals(prefix);
        return changes
                ? new ForwardedPath(
                        PathRewrite.ofPrefix(PathKey.encodePercent(prefix), uri.literal()), state.conditions())
                : ForwardedPath.unchanged(state.conditions());
    }

    private static ForwardedPath rewritten(RewrittenPath rewritten, Conditions conditions) {
        String replacement = rewritten.path().parts().isEmpty() ? null : rewritten.replacement();
        return replacement == null
                ? null
                : new ForwardedPath(PathRewrite.replaced(replacement), rewritten.withPatternFirst(conditions));
    }

    /** Replaces the location's prefix in a rewritten path by the URL's path. */
    private static ForwardedPath rewrittenWithPrefix(Expression uri, RequestState state) {
        RewrittenPath rewritten = state.rewritten();
        if (rewritten.search() == RewrittenPath.Search.SKIPPED) {
            return rewritten(rewritten, state.conditions()); // changed within the location: the URL's path is ignored
        }
        Location location = state.location();
        String head = rewritten.path().literalPrefix();
        if (!head.startsWith(location.text())) {
            return null;
        }
        List<Expression.Part> parts = new ArrayList<>(rewritten.path().parts());
        String newHead = uri.literal() + head.substring(location.text().length());
        parts.set(0, new Expression.Part(false, newHead));
        RewrittenPath replaced = new RewrittenPath(rewritten.pattern(), Expression.joined(parts), rewritten.search());
        return rewritten(replaced, state.conditions());
    }

    private static ForwardedPath pathFromVariables(Expression uri, RequestState state) {
        // Variables of the query are dropped: the rewrite keeps the query if keys contain it, and otherwise there is
        // none.
        List<Expression.Part> parts = uri.parts().stream()
                .filter(part -> !part.variable() || !PathVariables.isQuery(part.text()))
                .toList();
        Expression path = Expression.joined(parts);
        if (path.isVariable("uri", "request_uri", "document_uri")) {
            return requestPath(path, state);
        }
        if (state.rewritten() == null && isPrefixedRequestPath(path)) {
            return new ForwardedPath(
                    PathRewrite.added(PathKey.encodePercent(path.literalPrefix())), state.conditions());
        }
        if (!path.literalPrefix().startsWith("/")) {
            return null;
        }
        String replacement = PathTemplates.replacement(path, state.captures());
        if (replacement == null) {
            return null;
        }
        Conditions conditions = state.captures() == null
                ? state.conditions()
                : state.conditions().withFirstPattern(state.captures());
        return new ForwardedPath(PathRewrite.replaced(replacement), conditions);
    }

    private static ForwardedPath requestPath(Expression path, RequestState state) {
        RewrittenPath rewritten = state.rewritten();
        boolean usesRewrittenPath = rewritten != null && path.isVariable("uri", "document_uri");
        String replacement = usesRewrittenPath ? rewritten.replacement() : null;
        return replacement == null
                ? ForwardedPath.unchanged(state.conditions())
                : new ForwardedPath(PathRewrite.replaced(replacement), rewritten.withPatternFirst(state.conditions()));
    }

    private static boolean isPrefixedRequestPath(Expression path) {
        return path.parts().size() == 2
                && !path.parts().get(0).variable()
                && path.parts().get(1).variable()
                && PathVariables.isPath(path.parts().get(1).text());
    }
}
