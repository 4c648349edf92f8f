package cacheproxy.proxy.dispatch;

import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;

/** Validates requests and passes all of them to one pool, as the platform's proxy does. */
public final class SinglePoolHandler implements RequestHandler {
    private final EventLoopContext loopContext;
    private final RequestValidator validator;
    private final Dispatcher pool;

    /** Creates a handler that passes requests to this pool. */
    public SinglePoolHandler(EventLoopContext loopContext, Dispatcher pool) {
        this.loopContext = loopContext;
        this.pool = pool;
        PolicySettings settings = pool.settings();
        validator = new RequestValidator(loopContext, settings.classes(), settings.tenants());
    }

    @Override
    public Handle submit(ClientRequest request, Responder responder) {
        String error = validator.resolve(request);
        if (error != null) {
            request.release(loopContext);
            responder.badRequest(error);
            return null;
        }
        if (validator.isExpired(request)) {
            loopContext.closeId(request.id());
            request.release(loopContext);
            responder.busy(0);
            return null;
        }
        RequestContext context = pool.newRequest(request, RequestValidator.keyHash(request.key()), responder);
        pool.dispatch(context);
        return context;
    }
}
