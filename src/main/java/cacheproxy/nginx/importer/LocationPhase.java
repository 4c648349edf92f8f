package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import cacheproxy.nginx.model.LocationSearch;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.PathKey;

/** Translates the search for a location, both for paths as received and for rewritten paths. */
final class LocationPhase {
    private static final String EVERY_PATH = "/";

    private final ServerContext context;
    private final Report report;
    private final RewritePhase rewritePhase;
    private final ContentPhase contentPhase;
    private final RewrittenPathSearch rewrittenPathSearch;

    LocationPhase(ServerContext context, RewritePhase rewritePhase) {
        this.context = context;
        report = context.report();
        this.rewritePhase = rewritePhase;
        contentPhase = new ContentPhase(context, rewritePhase, this);
        rewrittenPathSearch = new RewrittenPathSearch(context);
    }

    /** Continues with a request after the rewrite directives of its server or location. */
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
            contentPhase.handle(state);
        }
    }

    /** Continues with a request in the location that nginx finds for its rewritten path. */
    void searchRewrittenPath(RequestState state) {
        RewrittenPath rewritten = state.rewritten();
        Directive directive = state.location() == null
                ? context.server().directive()
                : state.location().directive();
        if (state.isAtLocationChangeLimit()) {
            report.notCarried(
                    directive,
                    "the rewrites form a loop; nginx fails these requests after " + RequestState.MAX_LOCATION_CHANGES
                            + " cycles, and here they fail, too");
            context.routes().addFailing(state, directive, "500");
            return;
        }
        Location found = rewrittenPathSearch.find(rewritten.path(), directive);
        if (found == null) {
            report.notCarried(
                    directive,
                    "the location for the rewritten path " + rewritten.path()
                            + " can't be determined; these requests fail");
            context.routes().addFailing(state, directive, "500");
            return;
        }
        report.carried(found.directive());
        String captures = found.kind().isRegex() ? null : rewritten.pattern();
        rewritePhase.run(
                ServerContext.rewriteDirectives(found.directive()),
                state.withRewritten(rewritten.withSearch(RewrittenPath.Search.DONE))
                        .redirectedTo(found, captures));
    }

    /** Continues with a request in each of the server's locations. */
    private void searchIncomingPath(RequestState state) {
        int firstOrder = context.routes().reserveOrders();
        boolean complete = false;
        for (LocationSearch.Step step : context.search().steps()) {
            Conditions conditions = conditions(step, state.conditions());
            if (conditions != null) {
                complete |= EVERY_PATH.equals(step.prefix()) && step.regexes().isEmpty();
                followStep(step, state, conditions, firstOrder);
            }
        }
        if (!complete) {
            failUnmatched(state, RouteSink.lastOrder(firstOrder));
        }
    }

    /** Returns the conditions of a step besides its path; null if no request can meet or no route can express them. */
    private Conditions conditions(LocationSearch.Step step, Conditions outer) {
        Conditions conditions = outer;
        for (Location regex : step.regexes()) {
            String pattern = context.patterns().of(regex);
            conditions = pattern == null || conditions == null
                    ? null
                    : context.combine(
                            conditions,
                            Conditions.pattern(pattern),
                            step.location().directive());
        }
        return conditions;
    }

    @SuppressWarnings("EnumOrdinal") // tiers are declared in the order in which nginx tries them
    private void followStep(LocationSearch.Step step, RequestState state, Conditions conditions, int firstOrder) {
        Directive block = step.location().directive();
        String exact = step.exact() == null ? null : PathKey.encodePercent(step.exact());
        String prefix = step.prefix() == null ? null : PathKey.encodePercent(step.prefix());
        String keyText = exact != null ? exact : prefix;
        if (keyText != null && !KeyRewrite.isLegalKey(keyText)) {
            report.notCarried(block, "no key is that long; no request reaches it");
            return;
        }
        RoutePosition position = new RoutePosition(firstOrder + step.tier().ordinal(), exact, prefix);
        String captures = step.regexes().isEmpty() ? null : context.patterns().of(step.location());
        RequestState inLocation = state.inFoundLocation(step.location(), position, conditions, captures);
        Directive internal = block.lastChildNamed("internal");
        if (step.redirect()) {
            report.changed(block, "nginx redirects " + step.exact() + " to " + step.exact() + "/; here it fails");
            context.routes().addFailing(inLocation, block, "301");
        } else if (internal != null) {
            report.changed(internal, "requests for it fail, without a status");
            context.routes().addFailing(inLocation, block, "404");
        } else {
            report.carried(block);
            rewritePhase.run(ServerContext.rewriteDirectives(block), inLocation);
        }
    }

    /**
     * Translates the requests that no location takes: the server's {@code try_files} takes them, otherwise they fail.
     */
    private void failUnmatched(RequestState state, int order) {
        RequestState unmatched = new RequestState(
                RoutePosition.ofAllKeys(order), state.conditions(), null, state.variables(), null, null, null, 0);
        Directive server = context.server().directive();
        Directive tryFiles = server.lastChildNamed("try_files");
        if (tryFiles != null) {
            contentPhase.tryFiles(tryFiles, unmatched);
        } else {
            context.routes().addFailing(unmatched, server, "404");
        }
    }
}
