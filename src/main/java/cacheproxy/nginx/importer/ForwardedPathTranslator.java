package cacheproxy.nginx.importer;

import cacheproxy.nginx.model.Location;
import cacheproxy.routes.PathKey;
import java.util.ArrayList;
import java.util.List;

/** Translates what a {@code proxy_pass} makes of a path. */
final class ForwardedPathTranslator {
    /**
     * Translates the path of one route.
     *
     * @param uri the path of the URL; empty if it has none
     * @param variable whether the URL was written with variables: its path is then the whole new path
     * @return null if routes can't express it
     */
    ForwardedPath translate(Expression uri, boolean variable, RequestState state) {
        boolean hasUri = !uri.parts().isEmpty();
        if (hasUri && variable) {
            return pathOfVariables(uri, state);
        }
        if (state.rewritten() != null) {
            return hasUri ? rewrittenWithPrefix(uri, state) : rewritten(state.rewritten(), state.when());
        }
        String prefix = state.location().text();
        boolean changes = hasUri && !uri.literal().equals(prefix); // not "location /a/" with "proxy_pass http://u/a/"
        return changes
                ? new ForwardedPath(PathRewrite.ofPrefix(PathKey.encodePercent(prefix), uri.literal()), state.when())
                : ForwardedPath.unchanged(state.when());
    }

    private static ForwardedPath rewritten(RewrittenPath rewritten, Conditions when) {
        String replacement = rewritten.path().parts().isEmpty() ? null : rewritten.replacement();
        return replacement == null
                ? null
                : new ForwardedPath(PathRewrite.replaced(replacement), rewritten.withGroups(when));
    }

    /** A rewritten path with the URL's path in place of the location's prefix. */
    private static ForwardedPath rewrittenWithPrefix(Expression uri, RequestState state) {
        RewrittenPath rewritten = state.rewritten();
        if (rewritten.search() == RewrittenPath.Search.SKIPPED) {
            return rewritten(rewritten, state.when()); // changed within the location: the URL's path does not count
        }
        Location location = state.location();
        String head = rewritten.path().head();
        if (!head.startsWith(location.text())) {
            return null;
        }
        List<Expression.Part> parts = new ArrayList<>(rewritten.path().parts());
        String newHead = uri.literal() + head.substring(location.text().length());
        parts.set(0, new Expression.Part(false, newHead));
        RewrittenPath replaced = new RewrittenPath(rewritten.pattern(), Expression.joined(parts), rewritten.search());
        return rewritten(replaced, state.when());
    }

    private static ForwardedPath pathOfVariables(Expression uri, RequestState state) {
        // The query is kept with the key, or has no part in it.
        List<Expression.Part> parts = uri.parts().stream()
                .filter(part -> !part.variable() || !PathVariables.isQuery(part.text()))
                .toList();
        Expression path = Expression.joined(parts);
        if (path.isVariable("uri", "request_uri", "document_uri")) {
            return requestPath(path, state);
        }
        if (state.rewritten() == null && isPrefixedRequestPath(path)) {
            return new ForwardedPath(PathRewrite.added(PathKey.encodePercent(path.head())), state.when());
        }
        if (!path.head().startsWith("/")) {
            return null;
        }
        String replacement = PathTemplates.replacement(path, state.captures());
        if (replacement == null) {
            return null;
        }
        Conditions when = state.captures() == null ? state.when() : state.when().withFirstPattern(state.captures());
        return new ForwardedPath(PathRewrite.replaced(replacement), when);
    }

    private static ForwardedPath requestPath(Expression path, RequestState state) {
        RewrittenPath rewritten = state.rewritten();
        boolean current = rewritten != null && path.isVariable("uri", "document_uri");
        String replacement = current ? rewritten.replacement() : null;
        return replacement == null
                ? ForwardedPath.unchanged(state.when())
                : new ForwardedPath(PathRewrite.replaced(replacement), rewritten.withGroups(state.when()));
    }

    private static boolean isPrefixedRequestPath(Expression path) {
        return path.parts().size() == 2
                && !path.parts().get(0).variable()
                && path.parts().get(1).variable()
                && PathVariables.isPath(path.parts().get(1).text());
    }
}
