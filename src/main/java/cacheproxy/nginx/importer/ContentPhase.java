package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;

/** Follows what a location does with its requests: {@code limit_except}, {@code try_files} and passing them on. */
final class ContentPhase {
    private final ServerContext context;
    private final Report report;
    private final RewritePhase rewrites;
    private final LocationPhase locations;
    private final ProxyPassTranslator proxyPasses;

    ContentPhase(ServerContext context, RewritePhase rewrites, LocationPhase locations) {
        this.context = context;
        report = context.report();
        this.rewrites = rewrites;
        this.locations = locations;
        proxyPasses = new ProxyPassTranslator(context);
    }

    /** Ends a request in its location. */
    void handle(RequestState state) {
        Directive block = state.location().directive();
        Directive limitExcept = block.last("limit_except");
        RequestState allowed = limitExcept == null || limitExcept.block() == null ? state : limited(limitExcept, state);
        if (allowed == null) {
            return;
        }
        Directive tryFiles = block.last("try_files");
        if (tryFiles != null && state.handler() == null) {
            tryFiles(tryFiles, allowed);
            return;
        }
        Directive pass = state.handler() != null ? state.handler() : block.last("proxy_pass");
        if (pass == null) {
            pass = block.last("memcached_pass");
        }
        if (pass == null) {
            failUnpassed(block, allowed);
        } else if (pass.name().equals("memcached_pass")) {
            report.changed(pass, "the key is the path, whatever $memcached_key is set to");
            proxyPasses.translate(pass, Expression.of("http://" + pass.arg(0)), false, allowed);
        } else {
            report.carried(pass);
            proxyPasses.translate(pass, Expression.of(pass.arg(0)), true, allowed);
        }
    }

    /** Ends the writes that a {@code limit_except} denies, and returns the other requests; null: none. */
    private RequestState limited(Directive limitExcept, RequestState state) {
        boolean deniesAll =
                limitExcept.all("deny").stream().anyMatch(deny -> deny.arg(0).equals("all"));
        boolean allowsWrites =
                limitExcept.args().stream().anyMatch(method -> !method.equals("GET") && !method.equals("HEAD"));
        if (!deniesAll || allowsWrites) {
            report.notCarried(limitExcept, "nobody is turned away by it here");
            return state;
        }
        report.changed(limitExcept, "writes fail here; exceptions within it do not count");
        Conditions writes = context.both(state.when(), Conditions.write(true), limitExcept);
        if (writes != null) {
            context.routes().fail(state.withWhen(writes), limitExcept, "403");
        }
        Conditions reads = context.both(state.when(), Conditions.write(false), limitExcept);
        return reads == null ? null : state.withWhen(reads);
    }

    private void failUnpassed(Directive block, RequestState state) {
        Directive otherPass = block.block().stream()
                .filter(directive -> directive.name().endsWith("_pass"))
                .findFirst()
                .orElse(null);
        if (otherPass != null) {
            report.notCarried(otherPass, "of a protocol or program that is not spoken here; these requests fail");
        } else {
            report.notCarried(block, "served from files or by a module, which are not here; these requests fail");
        }
        context.routes().fail(state, block, "404");
    }

    /** Sends requests where a {@code try_files} does if there is no file. */
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
        if (named == null || state.exhausted()) {
            report.notCarried(directive, "there is no location " + name + "; these requests fail");
            context.routes().fail(state, directive, "404");
            return;
        }
        report.changed(directive, "there are no files here: all requests go to " + name);
        report.carried(named.directive());
        rewrites.run(ServerContext.rewriteDirectives(named.directive()), state.redirected(named, null));
    }

    private void tryPath(Directive directive, String target, RequestState state) {
        int question = target.indexOf('?');
        Expression path = Expression.of(question < 0 ? target : target.substring(0, question));
        boolean isStatus = target.startsWith("=");
        if (isStatus || !path.isLiteral() || state.exhausted()) {
            report.notCarried(directive, "there are no files here: these requests fail");
            context.routes().fail(state, directive, "404");
            return;
        }
        report.changed(directive, "there are no files here: all requests go to " + path);
        locations.searchRewrittenPath(state.withRewritten(new RewrittenPath(null, path, RewrittenPath.Search.PENDING)));
    }
}
