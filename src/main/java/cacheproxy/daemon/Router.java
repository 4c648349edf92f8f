package cacheproxy.daemon;

import cacheproxy.daemon.hooks.HookExecutor;
import cacheproxy.daemon.hooks.HookedRequest;
import cacheproxy.proxy.ClientRequest;
import cacheproxy.proxy.EventLoopContext;
import cacheproxy.proxy.RequestHandler;
import cacheproxy.proxy.Responder;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import java.util.List;

/** Takes the requests of all listeners and sends each on its route. */
public final class Router {
    private final EventLoopContext core;
    private ConfigSnapshot generation;

    Router(EventLoopContext core) {
        this.core = core;
    }

    /** Requests that come from now on go by this. */
    void use(ConfigSnapshot next) {
        generation = next;
    }

    ConfigSnapshot generation() {
        return generation;
    }

    /** What a listener of this name hands its requests to. */
    RequestHandler from(String listener) {
        return (command, responder) -> take(listener, command, responder);
    }

    private RequestHandler.Handle take(String listener, ClientRequest command, Responder responder) {
        ConfigSnapshot g = generation;
        String fault = g.intake.resolve(command);
        if (fault != null) {
            command.release(core);
            responder.rejected(fault);
            return null;
        }
        if (g.intake.expired(command)) {
            core.closeId(command);
            command.release(core);
            responder.refused(0);
            return null;
        }
        List<HookExecutor> hooks = g.hooks.get(listener);
        return hooks != null
                ? new HookedRequest(core, this, g, hooks, listener, command, responder).start()
                : route(g, listener, null, command, responder);
    }

    /** Sends a request on its route, or on the one that a hook has named. */
    public RequestHandler.Handle route(
            ConfigSnapshot g, String listener, Route named, ClientRequest command, Responder responder) {
        RouteInput s = g.file.keys()
                .subject(listener, command.key(), command.serviceClass(), command.tenant(), command.write());
        Route route = s == null ? null : named != null ? named : g.file.routes().find(s);
        if (route != null && route.action() instanceof Route.ToPools) {
            return to(g, listener, s, route, command, responder);
        }
        core.closeId(command);
        command.release(core);
        if (s == null) {
            responder.rejected("key is no path");
        } else if (route == null) {
            responder.rejected("no route takes this key");
        } else if (route.action() instanceof Route.Refuse r) {
            responder.refused(r.afterMs());
        } else {
            responder.failed();
        }
        return null;
    }

    private RequestHandler.Handle to(
            ConfigSnapshot g, String listener, RouteInput s, Route route, ClientRequest command, Responder responder) {
        String key = route.poolKey(s);
        if (key == null) {
            core.closeId(command);
            command.release(core);
            responder.rejected("route " + route.name() + " makes no legal key of this one");
            return null;
        }
        // Whoever asks from another proxy gets what our nodes have, and nothing is fetched for him: no loops.
        if (g.siblings.icp() != null
                && listener.equals(g.siblings.icp().listener())
                && (command.write()
                        || !g.chain(route).stream()
                                .allMatch(p ->
                                        p.spec().origin() == null && p.spec().discovery() == null))) {
            core.closeId(command);
            command.release(core);
            if (command.write()) {
                responder.rejected("siblings do not write here");
            } else {
                responder.miss();
            }
            return null;
        }
        boolean rewritten = !key.equals(command.key());
        RoutedRequest r = new RoutedRequest(
                core, g, s, route, rewritten ? command.withKey(key) : command, rewritten ? command : null, responder);
        r.next();
        return r;
    }
}
