package cacheproxy.proxy.dispatch;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;

/** All requests go to one pool, as on the platform. */
public final class SinglePoolHandler implements RequestHandler {
    private final EventLoopContext core;
    private final RequestValidator intake;
    private final Dispatcher pool;

    public SinglePoolHandler(EventLoopContext core, Dispatcher pool) {
        this.core = core;
        this.pool = pool;
        intake = new RequestValidator(
                core, pool.settings().classes(), pool.settings().tenants());
    }

    @Override
    public Handle submit(ClientRequest command, Responder responder) {
        String fault = intake.resolve(command);
        if (fault != null) {
            command.release(core);
            responder.badRequest(fault);
            return null;
        }
        if (intake.isExpired(command)) {
            core.closeId(command.id);
            command.release(core);
            responder.busy(0);
            return null;
        }
        RequestContext x = new RequestContext(pool, command, RequestValidator.keyHash(command.key), responder, true);
        x.dueMs = command.dueMs;
        pool.take(x);
        return x;
    }
}
