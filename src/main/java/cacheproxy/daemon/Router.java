package cacheproxy.daemon;

import cacheproxy.daemon.hooks.HookExecutor;
import cacheproxy.daemon.hooks.HookedRequest;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import java.util.List;

/** Receives the requests of all listeners and sends each to the pools of its route. On the event loop only. */
public final class Router {
    private final EventLoopContext core;
    private ConfigSnapshot configuration;

    Router(EventLoopContext core) {
        this.core = core;
    }

    /** Sets the configuration by which later requests are routed. */
    void use(ConfigSnapshot next) {
        configuration = next;
    }

    /** Returns the current configuration; null before the first one. */
    ConfigSnapshot configuration() {
        return configuration;
    }

    /** Returns the handler of a listener's requests. */
    RequestHandler handlerFor(String listener) {
        return (request, responder) -> receive(listener, request, responder);
    }

    private RequestHandler.Handle receive(String listener, ClientRequest request, Responder responder) {
        ConfigSnapshot config = configuration;
        String fault = config.requestValidator.resolve(request);
        if (fault != null) {
            request.release(core);
            responder.badRequest(fault);
            return null;
        }
        if (config.requestValidator.isExpired(request)) {
            core.closeId(request.id());
            request.release(core);
            responder.busy(0);
            return null;
        }
        List<HookExecutor> hooks = config.hooksOfListener.get(listener);
        return hooks != null
                ? new HookedRequest(core, this, config, hooks, listener, request, responder).start()
                : route(config, listener, null, request, responder);
    }

    /**
     * Sends a request to the pools of its route, or concludes it if it can't be routed to pools.
     *
     * @param routeByHook the route that a hook has chosen; null if none has
     * @return null if the request is already concluded
     */
    public RequestHandler.Handle route(
            ConfigSnapshot config, String listener, Route routeByHook, ClientRequest request, Responder responder) {
        RouteInput input = config.file
                .keys()
                .parse(listener, request.key(), request.serviceClass(), request.tenant(), request.isWrite());
        Route route = input == null
                ? null
                : routeByHook != null ? routeByHook : config.file.routes().find(input);
        if (route != null && route.action() instanceof Route.ToPools) {
            return routeToPools(config, listener, input, route, request, responder);
        }
        core.closeId(request.id());
        request.release(core);
        if (input == null) {
            responder.badRequest("key is no path");
        } else if (route == null) {
            responder.badRequest("no route takes this key");
        } else if (route.action() instanceof Route.Reject rejection) {
            responder.busy(rejection.retryAfterMs());
        } else {
            responder.failed();
        }
        return null;
    }

    private RequestHandler.Handle routeToPools(
            ConfigSnapshot config,
            String listener,
            RouteInput input,
            Route route,
            ClientRequest request,
            Responder responder) {
        String key = route.poolKey(input);
        if (key == null) {
            core.closeId(request.id());
            request.release(core);
            responder.badRequest("route " + route.name() + " makes no legal key of this one");
            return null;
        }
        if (fromSibling(config, listener) && (request.isWrite() || mayFetch(config.chain(route)))) {
            core.closeId(request.id());
            request.release(core);
            if (request.isWrite()) {
                responder.badRequest("siblings do not write here");
            } else {
                responder.miss();
            }
            return null;
        }
        boolean rewritten = !key.equals(request.key());
        RoutedRequest routed = new RoutedRequest(
                core,
                config,
                input,
                route,
                rewritten ? request.withKey(key) : request,
                rewritten ? request : null,
                responder);
        routed.tryNextPool();
        return routed;
    }

    private static boolean fromSibling(ConfigSnapshot config, String listener) {
        return config.siblings.icp() != null
                && listener.equals(config.siblings.icp().listener());
    }

    /**
     * Returns whether a pool can fetch from elsewhere, as it has an origin or uses discovery. Such a fetch on behalf of
     * a sibling could loop.
     */
    private static boolean mayFetch(List<PoolRuntime> pools) {
        return pools.stream()
                .anyMatch(
                        pool -> pool.config().origin() != null || pool.config().discovery() != null);
    }
}
