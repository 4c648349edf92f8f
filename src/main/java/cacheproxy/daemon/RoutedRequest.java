package cacheproxy.daemon;

import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.policy.PolicyApi.ServiceClass;
import cacheproxy.proxy.ClientRequest;
import cacheproxy.proxy.EventLoopContext;
import cacheproxy.proxy.RequestContext;
import cacheproxy.proxy.RequestHandler;
import cacheproxy.proxy.Responder;
import cacheproxy.routes.Fallback;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import io.netty.buffer.ByteBuf;
import java.util.List;

/**
 * A request on its way through the pools of its route: each pool's module has it until it serves it or gives it up, and
 * the client gets one answer. It is the responder of whichever pool has it.
 */
final class RoutedRequest implements Responder, RequestHandler.Handle {
    private final EventLoopContext core;
    private final ConfigSnapshot config;
    private final List<PoolRuntime> chain;
    private final RouteInput input;
    private final Route route;
    private final ServiceClass serviceClass;
    /** As pools get it. */
    private final ClientRequest request;
    /** As the client sent it, where a route has changed the key; else null. */
    private final ClientRequest original;

    private final Responder client;
    private int poolIndex = -1;
    private RequestContext current;
    private boolean concluded;
    private boolean mayHaveRun;
    /** What drops repeats in all pools in which it may have run; null where that is nothing, or more than one. */
    private String dedupGroupRun;

    private boolean failed;
    /** Whether the last pool that was asked has said that it lacks the key: then that is the answer. */
    private boolean missed;

    private double longestRetryAfterMs;
    /**
     * What it has taken of the fleet's limits: of those that concern all pools, and of the present pool's; null:
     * nothing.
     */
    private LocalQuota[] quotasTaken;

    private LocalQuota[] poolQuotasTaken;

    /** Takes the commands over; {@code original} is null unless the key was changed. */
    RoutedRequest(
            EventLoopContext core,
            ConfigSnapshot config,
            RouteInput input,
            Route route,
            ClientRequest request,
            ClientRequest original,
            Responder client) {
        this.core = core;
        this.config = config;
        this.input = input;
        this.route = route;
        chain = config.chain(route);
        this.request = request;
        this.original = original;
        this.client = client;
        serviceClass = config.file.classes().get(request.serviceClass());
        config.pendingRequests++;
    }

    /** Goes to the next pool that takes it, or ends. */
    void next() {
        if (poolIndex < 0 && config.quotas != null) {
            LocalQuota[] all = config.quotas.of("", request);
            double waitMs = config.quotas.ask(all, core.now());
            if (waitMs > 0) {
                concluded();
                client.refused(waitMs);
                return;
            }
            quotasTaken = take(all);
        }
        while (++poolIndex < chain.size()) {
            PoolRuntime pool = chain.get(poolIndex);
            double nowMs = core.now();
            if (!Fallback.mayGoOn(
                    serviceClass, mayHaveRun, dedupGroupRun, pool.dedupGroup(), nowMs, request.arrivedMs())) {
                break;
            }
            double dueMs = Fallback.dueMs(
                    serviceClass,
                    mayHaveRun,
                    poolIndex == chain.size() - 1,
                    nowMs,
                    request.arrivedMs(),
                    request.dueMs());
            if (dueMs <= nowMs) {
                break;
            }
            LocalQuota[] own = config.quotas == null ? null : config.quotas.of(pool.name, request);
            double waitMs = own == null ? 0 : config.quotas.ask(own, nowMs);
            waitMs = waitMs > 0 ? waitMs : pool.admit(nowMs);
            if (waitMs > 0) {
                longestRetryAfterMs = Math.max(longestRetryAfterMs, waitMs);
                continue;
            }
            RequestContext context =
                    RequestContext.of(pool.dispatcher, request, pool.keyHash(input, route, request.key()), this, dueMs);
            current = context;
            poolQuotasTaken = own == null ? null : take(own);
            pool.dispatcher.take(context);
            return;
        }
        if (failed || !Fallback.mayRefuse(serviceClass, mayHaveRun)) {
            concluded();
            client.failed();
        } else if (missed) {
            concluded();
            client.miss();
        } else {
            concluded();
            client.refused(longestRetryAfterMs);
        }
    }

    private static LocalQuota[] take(LocalQuota[] quotas) {
        for (LocalQuota quota : quotas) {
            quota.take();
        }
        return quotas;
    }

    private static void release(LocalQuota[] quotas) {
        if (quotas != null) {
            for (LocalQuota quota : quotas) {
                quota.give();
            }
        }
    }

    private void poolRejected(boolean hasMissed, boolean hasFailed, double retryAfterMs) {
        if (concluded) {
            return;
        }
        release(poolQuotasTaken);
        poolQuotasTaken = null;
        if (current.mayHaveRun()) {
            String group = chain.get(poolIndex).dedupGroup();
            dedupGroupRun = mayHaveRun && (dedupGroupRun == null || !dedupGroupRun.equals(group)) ? null : group;
            mayHaveRun = true;
        }
        failed = hasFailed;
        missed = hasMissed;
        longestRetryAfterMs = Math.max(longestRetryAfterMs, retryAfterMs);
        next();
    }

    private void concluded() {
        concluded = true;
        release(quotasTaken);
        release(poolQuotasTaken);
        config.pendingRequests--;
        core.closeId(request);
        request.release(core);
        if (original != null) {
            original.release(core);
        }
    }

    @Override
    public void miss() {
        poolRejected(true, false, 0);
    }

    @Override
    public void refused(double retryAfterMs) {
        poolRejected(false, false, retryAfterMs);
    }

    @Override
    public void failed() {
        poolRejected(false, true, 0);
    }

    @Override
    public void value(ByteBuf value) {
        concluded();
        client.value(value);
    }

    @Override
    public void receipt(String receipt) {
        concluded();
        client.receipt(receipt);
    }

    @Override
    public void rejected(String why) {
        concluded();
        client.rejected(why);
    }

    @Override
    public void begin(int length, Flow source) {
        client.begin(length, source);
    }

    @Override
    public void part(ByteBuf part) {
        client.part(part);
    }

    @Override
    public void end() {
        concluded();
        client.end();
    }

    @Override
    public void breakOff() {
        if (!concluded) {
            concluded();
        }
        client.breakOff();
    }

    @Override
    public void gone() {
        if (!concluded) {
            concluded();
            current.gone();
        }
    }
}
