package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;

/** Translates what a location does with its requests: {@code limit_except}, {@code try_files} and passing them on. */
final class ContentPhase {
    private final ServerContext context;
    private final Report report;
    private final RewritePhase rewritePhase;
    private final LocationPhase locationPhase;
    private final ProxyPassTranslator proxyPassTranslator;

    ContentPhase(ServerContext context, RewritePhase rewritePhase, LocationPhase locationPhase) {
        this.context = context;
        report = context.report();
        this.rewritePhase = rewritePhase;
        this.locationPhase = locationPhase;
        proxyPassTranslator = new ProxyPassTranslator(context);
    }

    /** Adds the routes of a request that has reached its final location. */
    void handle(RequestState state) {
        Directive block = state.location().directive();
        Directive limitExcept = block.lastChildNamed("limit_except");
        RequestState allowed =
                limitExcept == null || limitExcept.block() == null ? state : endDeniedWrites(limitExcept, state);
        if (allowed == null) {
            return;
        }
        Directive tryFiles = block.lastChildNamed("try_files");
        if (tryFiles != null && state.handler() == null) {
            tryFiles(tryFiles, allowed);
            return;
        }
        Directive pass = state.handler() != null ? state.handler() : block.lastChildNamed("proxy_pass");
        if (pass == null) {
            pass = block.lastChildNamed("memcached_pass");
        }
        if (pass == null) {
            failUnproxied(block, allowed);
        } else if (pass.name().equals("memcached_pass")) {
            report.changed(pass, "the key is the path, whatever $memcached_key is set to");
            proxyPassTranslator.translate(pass, Expression.of("http://" + pass.arg(0)), false, allowed);
        } else {
            report.carried(pass);
            proxyPassTranslator.translate(pass, Expression.of(pass.arg(0)), true, allowed);
        }
    }

    /**
     * Adds a failing route for the writes that a {@code limit_except} denies; returns the other requests, or null if
     * none remain.
     */
    private RequestState endDeniedWrites(Directive limitExcept, RequestState state) {
        boolean deniesAll = limitExcept.childrenNamed("deny").stream()
                .anyMatch(deny -> deny.arg(0).equals("all"));
        boolean allowsWrites =
                limitExcept.args().stream().anyMatch(method -> !method.equals("GET") && !method.equals("HEAD"));
        if (!deniesAll || allowsWrites) {
            report.notCarried(limitExcept, "nobody is turned away by it here");
            return state;
        }
        report.changed(limitExcept, "writes fail here; exceptions within it do not count");
        Conditions writes = context.combine(state.conditions(), Conditions.write(true), limitExcept);
        if (writes != null) {
            context.routes().addFailing(state.withConditions(writes), limitExcept, "403");
        }
        Conditions reads = context.combine(state.conditions(), Conditions.write(false), limitExcept);
        return reads == null ? null : state.withConditions(reads);
    }

    private void failUnproxied(Directive block, RequestState state) {
        Directive otherPass = block.block().stream()
                .filter(directive -> directive.name().endsWith("_pass"))
                .findFirst()
                .orElse(null);
        if (otherPass != null) {
            report.notCarried(otherPass, "of a protocol or program that is not spoken here; these requests fail");
        } else {
            report.notCarried(block, "served from files or by a module, which are not here; these requests fail");
        }
        context.routes().addFailing(state, block, "404");
    }

    /** Sends requests to the target that a {@code try_files} uses if no file exists. */
    void tryFiles(Directive directive, RequestState state) {
        String last = directive.lastArg();
        if (last.startsWith("@")) {
            tryNamedLocation(directive, last, state);
        } else {
            tryPath(directive, last, state);
        }
    }

    private void tryNamedLocation(Directive directive, String name, RequestState state) {
        Location named = context.namedLocation(name);
        if (named == null || state.isAtLocationChangeLimit()) {
            report.notCarried(directive, "there is no location " + name + "; these requests fail");
            context.routes().addFailing(state, directive, "404");
            return;
        }
        report.changed(directive, "there are no files here: all requests go to " + name);
        report.carried(named.directive());
        rewritePhase.run(ServerContext.rewriteDirectives(named.directive()), state.redirectedTo(named, null));
    }

    private void tryPath(Directive directive, String target, RequestState state) {
        int question = target.indexOf('?');
        Expression path = Expression.of(question < 0 ? target : target.substring(0, question));
        boolean isStatus = target.startsWith("=");
        if (isStatus || !path.isLiteral() || state.isAtLocationChangeLimit()) {
            report.notCarried(directive, "there are no files here: these requests fail");
            context.routes().addFailing(state, directive, "404");
            return;
        }
        report.changed(directive, "there are no files here: all requests go to " + path);
        locationPhase.searchRewrittenPath(
                state.withRewritten(new RewrittenPath(null, path, RewrittenPath.Search.PENDING)));
    }
}
