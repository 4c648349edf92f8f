package damsonworks.daemon;

import damsonworks.proxy.Command;
import damsonworks.proxy.Core;
import damsonworks.proxy.RequestHandler;
import damsonworks.proxy.Responder;
import damsonworks.routes.Route;
import damsonworks.routes.Subject;
import java.util.List;

/** Takes the requests of all listeners and sends each on its route. */
final class Router {
    private final Core core;
    private Generation generation;

    Router(Core core) {
        this.core = core;
    }

    /** Requests that come from now on go by this. */
    void use(Generation next) {
        generation = next;
    }

    Generation generation() {
        return generation;
    }

    /** What a listener of this name hands its requests to. */
    RequestHandler from(String listener) {
        return (command, responder) -> take(listener, command, responder);
    }

    private RequestHandler.Handle take(String listener, Command command, Responder responder) {
        Generation g = generation;
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
        List<HookRunner> hooks = g.hooks.get(listener);
        return hooks != null ? new HookedRequest(core, this, g, hooks, listener, command, responder).start()
                : route(g, listener, null, command, responder);
    }

    /** Sends a request on its route, or on the one that a hook has named. */
    RequestHandler.Handle route(Generation g, String listener, Route named, Command command, Responder responder) {
        Subject s = g.file.keys().subject(listener, command.key(), command.serviceClass(), command.tenant(),
                command.write());
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

    private RequestHandler.Handle to(Generation g, String listener, Subject s, Route route, Command command, Responder responder) {
        String key = route.poolKey(s);
        if (key == null) {
            core.closeId(command);
            command.release(core);
            responder.rejected("route " + route.name() + " makes no legal key of this one");
            return null;
        }
        // Whoever asks from another proxy gets what our nodes have, and nothing is fetched for him: no loops.
        if (g.siblings.icp() != null && listener.equals(g.siblings.icp().listener()) && (command.write()
                || !g.chain(route).stream().allMatch(p -> p.spec().origin() == null && p.spec().discovery() == null))) {
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
        RoutedRequest r = new RoutedRequest(core, g, s, route, rewritten ? command.withKey(key) : command,
                rewritten ? command : null, responder);
        r.next();
        return r;
    }
}
