package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import cacheproxy.nginx.model.LocationSearch;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.PathKey;

/** Follows the search for a location, for paths as they came in and for rewritten ones. */
final class LocationPhase {
    private static final String EVERY_PATH = "/";

    private final ServerContext context;
    private final Report report;
    private final RewritePhase rewrites;
    private final ContentPhase contents;
    private final RewrittenPathSearch rewrittenPaths;

    LocationPhase(ServerContext context, RewritePhase rewrites) {
        this.context = context;
        report = context.report();
        this.rewrites = rewrites;
        contents = new ContentPhase(context, rewrites, this);
        rewrittenPaths = new RewrittenPathSearch(context);
    }

    /** Goes on with a request after the rewrite directives of its server or location. */
    void afterRewrite(RequestState state) {
        RewrittenPath rewritten = state.rewritten();
        if (state.location() == null) {
            if (rewritten == null) {
                searchIncomingPath(state);
            } else {
                int order = context.routes().reserveOrders();
                searchRewrittenPath(state.atServerLevel(RoutePosition.ofAllKeys(order)));
            }
        } else if (rewritten != null && rewritten.search() == RewrittenPath.Search.PENDING) {
            searchRewrittenPath(state);
        } else {
            contents.handle(state);
        }
    }

    /** Goes on with a rewritten path in the location that nginx finds for it. */
    void searchRewrittenPath(RequestState state) {
        RewrittenPath rewritten = state.rewritten();
        Directive at = state.location() == null
                ? context.server().directive()
                : state.location().directive();
        if (state.exhausted()) {
            report.notCarried(
                    at,
                    "rewrites go round; nginx fails these requests after " + RequestState.MAX_LOCATION_CHANGES
                            + " turns, and so they do here");
            context.routes().fail(state, at, "500");
            return;
        }
        Location found = rewrittenPaths.find(rewritten.path(), at);
        if (found == null) {
            report.notCarried(
                    at, "where requests go whose path is made " + rewritten.path() + " can't be told; they fail");
            context.routes().fail(state, at, "500");
            return;
        }
        report.carried(found.directive());
        String captures = found.kind().isRegex() ? null : rewritten.pattern();
        rewrites.run(
                ServerContext.rewriteDirectives(found.directive()),
                state.withRewritten(rewritten.with(RewrittenPath.Search.DONE)).redirected(found, captures));
    }

    /** Goes on with a request in each of the server's locations. */
    private void searchIncomingPath(RequestState state) {
        int firstOrder = context.routes().reserveOrders();
        boolean complete = false;
        for (LocationSearch.Step step : context.search().steps()) {
            Conditions when = conditions(step, state.when());
            if (when != null) {
                complete |= EVERY_PATH.equals(step.prefix()) && step.regexes().isEmpty();
                follow(step, state, when, firstOrder);
            }
        }
        if (!complete) {
            failUnlocated(state, RouteSink.lastOrder(firstOrder));
        }
    }

    /** Conditions of a step beyond its path; null if no request can meet them, or routes can't express them. */
    private Conditions conditions(LocationSearch.Step step, Conditions outer) {
        Conditions when = outer;
        for (Location regex : step.regexes()) {
            String pattern = context.patterns().of(regex);
            when = pattern == null || when == null
                    ? null
                    : context.both(
                            when, Conditions.pattern(pattern), step.location().directive());
        }
        return when;
    }

    @SuppressWarnings("EnumOrdinal") // tiers are declared in the order in which nginx tries them
    private void follow(LocationSearch.Step step, RequestState state, Conditions when, int firstOrder) {
        Directive block = step.location().directive();
        String exact = step.exact() == null ? null : PathKey.encodePercent(step.exact());
        String prefix = step.prefix() == null ? null : PathKey.encodePercent(step.prefix());
        String keyText = exact != null ? exact : prefix;
        if (keyText != null && !KeyRewrite.isLegalKey(keyText)) {
            report.notCarried(block, "no key is so long; nothing comes to it");
            return;
        }
        RoutePosition position = new RoutePosition(firstOrder + step.tier().ordinal(), exact, prefix);
        String captures = step.regexes().isEmpty() ? null : context.patterns().of(step.location());
        RequestState inLocation = state.found(step.location(), position, when, captures);
        Directive internal = block.last("internal");
        if (step.redirect()) {
            report.changed(block, "nginx redirects " + step.exact() + " to " + step.exact() + "/; here it fails");
            context.routes().fail(inLocation, block, "301");
        } else if (internal != null) {
            report.changed(internal, "requests for it fail, without a status");
            context.routes().fail(inLocation, block, "404");
        } else {
            report.carried(block);
            rewrites.run(ServerContext.rewriteDirectives(block), inLocation);
        }
    }

    /** Ends requests that no location takes, or has the server's {@code try_files} take them. */
    private void failUnlocated(RequestState state, int order) {
        RequestState unlocated = new RequestState(
                RoutePosition.ofAllKeys(order), state.when(), null, state.variables(), null, null, null, 0);
        Directive server = context.server().directive();
        Directive tryFiles = server.last("try_files");
        if (tryFiles != null) {
            contents.tryFiles(tryFiles, unlocated);
        } else {
            context.routes().fail(unlocated, server, "404");
        }
    }
}
