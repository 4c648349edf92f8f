package cacheproxy.daemon;

import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.dispatch.RequestContext;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.routes.FallbackRules;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import io.netty.buffer.ByteBuf;
import java.util.List;

/**
 * A request on its way through the pools of its route: each pool in turn serves or rejects it, and the client gets one
 * response. It acts as the responder towards the current pool. On the event loop only.
 */
final class RoutedRequest implements Responder, RequestHandler.Handle {
    private final EventLoopContext core;
    private final ConfigSnapshot config;
    private final List<PoolRuntime> chain;
    private final RouteInput input;
    private final Route route;
    private final ServiceClass serviceClass;
    /** The request that is passed to the pools. */
    private final ClientRequest request;
    /** The request as the client sent it if the route has changed the key; otherwise null. */
    private final ClientRequest original;

    private final Responder client;
    private int poolIndex = -1;
    private RequestContext current;
    private boolean concluded;
    private boolean mayHaveRun;
    /**
     * The deduplication group of all pools in which the request may have run; null if there is none, or more than one.
     */
    private String dedupGroupRun;

    private boolean failed;
    /** Whether the last pool tried reported a miss, which then is the response. */
    private boolean missed;

    private double longestRetryAfterMs;
    /** The consumed quotas that apply to all pools; null if none. */
    private LocalQuota[] quotasTaken;

    /** The consumed quotas of the current pool; null if none. */
    private LocalQuota[] poolQuotasTaken;

    /** Takes ownership of both requests; {@code original} is null unless the route has changed the key. */
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

    /** Sends the request to the next pool that admits it, or concludes it. */
    void tryNextPool() {
        if (poolIndex < 0 && !takeQuotas()) {
            return;
        }
        while (!config.isConcluding() && ++poolIndex < chain.size()) {
            PoolRuntime pool = chain.get(poolIndex);
            double nowMs = core.nowMs();
            if (!FallbackRules.mayTryNextPool(
                    serviceClass, mayHaveRun, dedupGroupRun, pool.dedupGroup(), nowMs, request.arrivedMs())) {
                break;
            }
            boolean last = poolIndex == chain.size() - 1;
            double dueMs = FallbackRules.deadlineMs(
                    serviceClass, mayHaveRun, last, nowMs, request.arrivedMs(), request.dueMs());
            if (dueMs <= nowMs) {
                break;
            }
            if (admit(pool, nowMs)) {
                current = pool.dispatcher.newRoutedRequest(
                        request, pool.keyHash(input, route, request.key()), this, dueMs);
                pool.dispatcher.dispatch(current);
                return;
            }
        }
        concludeUnserved();
    }

    /** Consumes the quotas that apply to all pools. Returns false if one of them rejected the request. */
    private boolean takeQuotas() {
        if (config.quotas == null) {
            return true;
        }
        LocalQuota[] all = config.quotas.quotasFor("", request);
        double waitMs = config.quotas.requestWaitMs(all, core.nowMs());
        if (waitMs > 0) {
            concluded();
            client.busy(waitMs);
            return false;
        }
        quotasTaken = take(all);
        return true;
    }

    /** Consumes the quotas of a pool and asks it to admit the request. Returns false if the request is rejected. */
    private boolean admit(PoolRuntime pool, double nowMs) {
        LocalQuota[] poolQuotas = config.quotas == null ? null : config.quotas.quotasFor(pool.name, request);
        double quotaWaitMs = poolQuotas == null ? 0 : config.quotas.requestWaitMs(poolQuotas, nowMs);
        double waitMs = quotaWaitMs > 0 ? quotaWaitMs : pool.admit(nowMs);
        if (waitMs > 0) {
            longestRetryAfterMs = Math.max(longestRetryAfterMs, waitMs);
            return false;
        }
        poolQuotasTaken = poolQuotas == null ? null : take(poolQuotas);
        return true;
    }

    private void concludeUnserved() {
        concluded();
        if (failed || !FallbackRules.mayReject(serviceClass, mayHaveRun)) {
            client.failed();
        } else if (missed) {
            client.miss();
        } else {
            client.busy(longestRetryAfterMs);
        }
    }

    private static LocalQuota[] take(LocalQuota[] quotas) {
        for (LocalQuota quota : quotas) {
            quota.consume();
        }
        return quotas;
    }

    private static void release(LocalQuota[] quotas) {
        if (quotas != null) {
            for (LocalQuota quota : quotas) {
                quota.release();
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
        tryNextPool();
    }

    private void concluded() {
        concluded = true;
        release(quotasTaken);
        release(poolQuotasTaken);
        config.pendingRequests--;
        core.closeId(request.id());
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
    public void busy(double retryAfterMs) {
        poolRejected(false, false, retryAfterMs);
    }

    @Override
    public void failed() {
        poolRejected(false, true, 0);
    }

    @Override
    public boolean announceValue(int length) {
        return client.announceValue(length);
    }

    @Override
    public void value(ByteBuf value) {
        concluded();
        client.value(value);
    }

    @Override
    public void stored(String receipt) {
        concluded();
        client.stored(receipt);
    }

    @Override
    public void badRequest(String why) {
        concluded();
        client.badRequest(why);
    }

    @Override
    public void beginValue(int length, ValueSource source) {
        client.beginValue(length, source);
    }

    @Override
    public void valuePart(ByteBuf part) {
        client.valuePart(part);
    }

    @Override
    public void endValue() {
        concluded();
        client.endValue();
    }

    @Override
    public void abortValue() {
        if (!concluded) {
            concluded();
        }
        client.abortValue();
    }

    @Override
    public boolean hasClientLeft() {
        return client.hasClientLeft();
    }

    @Override
    public void clientDisconnected() {
        if (!concluded) {
            boolean mayRunYet = request.isWrite() && (mayHaveRun || current.mayHaveRun());
            concluded();
            if (mayRunYet) {
                core.retireId(request.id());
            }
            current.clientDisconnected();
        }
    }

    @Override
    public void cancelValue() {
        if (!concluded) {
            current.cancelValue();
        }
    }
}
