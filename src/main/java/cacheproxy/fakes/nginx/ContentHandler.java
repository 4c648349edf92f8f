package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.Map;

/**
 * Handles requests in their location: {@code limit_except}, {@code try_files} (no files exist), and passing requests to
 * a server.
 */
final class ContentHandler {
    private final Map<String, Directive> upstreams;
    private final VariableExpander variables;
    private final RewriteInterpreter rewrites;
    private final UpstreamBalancer balancer;

    ContentHandler(Map<String, Directive> upstreams, VariableExpander variables, RewriteInterpreter rewrites) {
        this.upstreams = upstreams;
        this.variables = variables;
        this.rewrites = rewrites;
        balancer = new UpstreamBalancer(variables);
    }

    /**
     * Handles a request; returns the path for which a location must be searched again, or null if the request is done.
     */
    String handle(Directive server, Directive location, SimulatedRequest request) {
        if (isDenied(location, request)) {
            request.answer(403);
            return null;
        }
        Directive tryFiles = location.lastChildNamed("try_files");
        if (tryFiles != null && request.handler() == null) {
            return tryFiles(server, tryFiles, request);
        }
        Directive pass = request.handler();
        if (pass == null) {
            pass = location.lastChildNamed("proxy_pass");
        }
        if (pass == null) {
            pass = location.lastChildNamed("memcached_pass");
        }
        if (pass == null) {
            request.answer(404);
        } else {
            pass(pass, LocationText.of(location), request);
        }
        return null;
    }

    private static boolean isDenied(Directive location, SimulatedRequest request) {
        Directive limitExcept = location.lastChildNamed("limit_except");
        boolean read = request.method().equals("GET") || request.method().equals("HEAD");
        return limitExcept != null
                && !read
                && !limitExcept.args().contains(request.method())
                && !limitExcept.childrenNamed("deny").isEmpty();
    }

    private String tryFiles(Directive server, Directive tryFiles, SimulatedRequest request) {
        String last = tryFiles.args().get(tryFiles.args().size() - 1);
        if (last.startsWith("@")) {
            return handleNamed(server, last, request);
        }
        if (last.startsWith("=")) {
            request.answer(Integer.parseInt(last.substring(1)));
            return null;
        }
        String path = variables.expand(last, request);
        int question = path.indexOf('?');
        return question < 0 ? path : path.substring(0, question);
    }

    private String handleNamed(Directive server, String name, SimulatedRequest request) {
        Directive named = server.childrenNamed("location").stream()
                .filter(location -> location.arg(0).equals(name))
                .findFirst()
                .orElse(null);
        if (named == null) {
            request.answer(500);
            return null;
        }
        request.enterLocation();
        rewrites.run(named.block(), request);
        if (request.isAnswered()) {
            return null;
        }
        if (request.isPathChangedInLocation() && !request.isRewriteEnded()) {
            return request.path();
        }
        request.setRewriteEnded(false);
        handle(server, named, request);
        return null;
    }

    private void pass(Directive pass, LocationText location, SimulatedRequest request) {
        boolean memcached = pass.name().equals("memcached_pass");
        String target = (memcached ? "http://" : "") + variables.expand(pass.arg(0), request);
        int scheme = target.indexOf("://");
        if (scheme < 0) {
            request.answer(500);
            return;
        }
        String afterScheme = target.substring(scheme + "://".length());
        int slash = afterScheme.indexOf('/');
        String authority = slash < 0 ? afterScheme : afterScheme.substring(0, slash);
        String uri;
        if (slash < 0 || memcached) {
            uri = request.isPathEverChanged() ? request.path() + request.query() : request.requestUri();
        } else {
            uri = replacedUri(afterScheme.substring(slash), pass, location, request);
        }
        if (uri == null) {
            request.answer(500);
            return;
        }
        Directive upstream = upstreams.get(authority);
        String server = upstream == null ? authority : balancer.select(upstream, request);
        request.answer(Response.passed(authority, server, uri));
    }

    /** Returns the request URI for a directive that has a URI; null if nginx would reject the configuration. */
    private static String replacedUri(
            String targetUri, Directive pass, LocationText location, SimulatedRequest request) {
        if (pass.arg(0).contains("$")) {
            return targetUri;
        }
        if (location.isRegex() || location.isNamed() || request.handler() != null) {
            return null;
        }
        if (request.isPathChangedInLocation()) {
            return request.path() + request.query(); // after a rewrite, nginx ignores the directive's URI
        }
        return targetUri + request.path().substring(location.text().length()) + request.query();
    }
}
