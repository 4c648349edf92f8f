package cacheproxy.daemon.hooks;

import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.ResponseObserver;
import cacheproxy.daemon.Router;
import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookOrders;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.net.TimerWheel;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import java.util.IdentityHashMap;
import java.util.List;

/**
 * A request that passes hooks, one after another, before it is routed. It is routed or rejected in time whatever the
 * hooks do: each hook has a timeout, and may take at most half of the time left until the request's deadline.
 *
 * <p>The thread of one hook passes the request directly to the thread of the next hook, as an additional turn of the
 * event loop in between would delay other requests. One thread owns the request at a time: first the event loop, then
 * the thread of the running task, whose end is reported once, by the hook's thread or, on a timeout, by the event loop.
 * Routing and responses are again done on the event loop.
 */
public final class HookedRequest implements RequestHandler.Handle {
    /** A request with less time left until its deadline is rejected. */
    private static final double MIN_TIME_LEFT_MS = 2;
    /** The fraction of the time left that one hook may take. */
    private static final double MAX_FRACTION_OF_TIME_LEFT = 0.5;
    /** The interval after which a call is checked again that has timed out while the hook's thread is ending it. */
    private static final double MIN_TIMER_MS = 1;

    private final EventLoopContext core;
    private final Router router;
    private final ConfigSnapshot config;
    private final List<HookExecutor> hooks;
    private final String listener;
    private final Responder responder;
    private final int sentClass;
    /** The calls of the hooks that want to be notified of the response. */
    private final IdentityHashMap<HookExecutor, HookCall> callsByHook = new IdentityHashMap<>(2);

    private ClientRequest request;
    /** Null if no hook has chosen a route. */
    private Route routeByHook;

    private int hookIndex;
    /** The call in progress. The event loop monitors its timeout. */
    private volatile HookTask runningTask;

    private TimerWheel.Timer timeoutTimer;
    private volatile boolean clientGone;
    /** Null until the request is routed. */
    private RequestHandler.Handle routed;

    /** Takes ownership of the request. */
    public HookedRequest(
            EventLoopContext core,
            Router router,
            ConfigSnapshot config,
            List<HookExecutor> hooks,
            String listener,
            ClientRequest request,
            Responder responder) {
        this.core = core;
        this.router = router;
        this.config = config;
        this.hooks = hooks;
        this.listener = listener;
        this.request = request;
        this.responder = hooks.stream().anyMatch(HookExecutor::wantsAnswers)
                ? new ResponseObserver(responder, this::notifyHooks)
                : responder;
        sentClass = request.serviceClass();
        config.pendingRequests++;
    }

    /** Calls the first hook; on the event loop. */
    public RequestHandler.Handle start() {
        double shortestTimeoutMs = hooks.stream()
                .mapToDouble(hook -> hook.config.limits().timeMs())
                .min()
                .orElse(0);
        double leftMs = request.dueMs() - core.nowMs();
        setTimer(Math.min(shortestTimeoutMs, leftMs * MAX_FRACTION_OF_TIME_LEFT));
        callNextHook();
        return this;
    }

    /**
     * Sets the timer, which serves all calls: it is set for the earliest timeout first, and then again for the call in
     * progress.
     */
    private void setTimer(double afterMs) {
        timeoutTimer = core.after(Math.max(MIN_TIMER_MS, afterMs), () -> {
            HookTask task = runningTask;
            double leftMs = task == null ? 0 : task.deadlineMs() - core.nowMs();
            setTimer(leftMs); // before expire(), which may conclude the request and cancel the timer
            if (task != null && leftMs <= 0) {
                task.expire();
            }
        });
    }

    /** Runs a task on the event loop: at once if the caller is on it. */
    private void onLoop(Runnable task) {
        if (core.loop().inEventLoop()) {
            task.run();
        } else {
            core.loop().execute(task);
        }
    }

    /** Calls the next hook that applies, or routes the request after the last one. */
    private void callNextHook() {
        while (hookIndex < hooks.size()) {
            HookExecutor hook = hooks.get(hookIndex);
            boolean limitedToRoutes = !hook.config.routes().isEmpty();
            if (limitedToRoutes && !core.loop().inEventLoop()) {
                core.loop().execute(this::callNextHook); // routes are looked up on the event loop only
                return;
            }
            hookIndex++;
            double nowMs = core.nowMs();
            boolean applies = !limitedToRoutes || matchesRouteOf(hook);
            if (applies && callOrReject(hook, nowMs)) {
                return;
            }
        }
        onLoop(this::route);
    }

    /**
     * Calls a hook, or rejects the request because too little time is left or the hook can't be called.
     *
     * @return false if neither was done, so that the request continues with the next hook at once
     */
    private boolean callOrReject(HookExecutor hook, double nowMs) {
        double leftMs = request.dueMs() - nowMs;
        if (leftMs < MIN_TIME_LEFT_MS) {
            reject(hook.config.retryAfterMs());
            return true;
        }
        if (!hook.breaker.tryCall(nowMs)) {
            return rejectIfRequired(hook);
        }
        HookCall call = newCall(leftMs);
        if (hook.wantsAnswers()) {
            callsByHook.put(hook, call);
        }
        double timeoutMs = Math.min(hook.config.limits().timeMs(), leftMs * MAX_FRACTION_OF_TIME_LEFT);
        HookTask task = hook.newTask(
                call, nowMs + timeoutMs, (orders, failure, called) -> completed(hook, orders, failure, called));
        runningTask = task;
        if (hook.offer(task)) {
            return true; // the hook's thread may already be running it
        }
        if (!task.withdraw()) {
            return true; // its timeout continues the request
        }
        callsByHook.remove(hook);
        hook.breaker.recordNotRun();
        return rejectIfRequired(hook);
    }

    private HookCall newCall(double leftMs) {
        ServiceClass serviceClass = config.file.classes().get(request.serviceClass());
        String tenant = config.file.tenants().isEmpty()
                ? ""
                : config.file.tenants().get(request.tenant()).name();
        return new HookCall(
                request.key(), serviceClass.name(), tenant, request.isWrite(), request.isRetry(), (long) leftMs);
    }

    private void route() {
        if (clientGone) {
            release();
            return;
        }
        endHooks();
        routed = router.route(config, listener, routeByHook, request, responder);
    }

    /** Returns whether the request, in its current state, takes one of the hook's routes. */
    private boolean matchesRouteOf(HookExecutor hook) {
        RouteInput input = config.file
                .keys()
                .parse(listener, request.key(), request.serviceClass(), request.tenant(), request.isWrite());
        Route route = routeByHook != null
                ? routeByHook
                : input == null ? null : config.file.routes().find(input);
        return route != null && hook.config.routes().contains(route.name());
    }

    private void notifyHooks(HookCall.Answer answer) {
        long elapsedMs = Math.round(core.nowMs() - request.arrivedMs());
        callsByHook.forEach((hook, call) -> hook.notifyAnswer(call, answer, elapsedMs));
    }

    /**
     * Rejects the request if the hook is configured to reject requests on failure. Returns whether the request was
     * rejected.
     */
    private boolean rejectIfRequired(HookExecutor hook) {
        if (hook.config.rejectOnFailure()) {
            reject(hook.config.retryAfterMs());
            return true;
        }
        return false;
    }

    private void recordOutcome(HookExecutor hook, double nowMs, boolean failed, String fault) {
        if (hook.breaker.recordResult(nowMs, failed)) {
            onLoop(() -> core.log("hook " + hook.config.name() + " is switched off for "
                    + Math.round(hook.config.breakerOffMs()) + " ms, as too many calls fail; the last: " + fault));
        }
    }

    private void completed(HookExecutor hook, HookOrders orders, String failure, boolean called) {
        double nowMs = core.nowMs();
        double leftMs = request.dueMs() - nowMs;
        String fault =
                failure != null ? failure : config.hookRules.violation(orders, sentClass, (long) Math.max(0, leftMs));
        if (called) {
            recordOutcome(hook, nowMs, fault != null, fault);
        } else {
            hook.breaker.recordNotRun();
        }
        if (clientGone) {
            onLoop(this::release);
            return;
        }
        if (fault != null) {
            if (!rejectIfRequired(hook)) {
                callNextHook();
            }
            return;
        }
        if (orders.note() != null && core.acceptsLines()) {
            onLoop(() -> core.log("hook " + hook.config.name() + ": " + orders.note()));
        }
        if (orders.refuseMs() > 0) {
            reject((double) orders.refuseMs());
            return;
        }
        apply(orders, nowMs);
        callNextHook();
    }

    private void apply(HookOrders orders, double nowMs) {
        if (orders.key() != null && !orders.key().equals(request.key())) {
            request = request.moveToKey(orders.key());
        }
        request.reclassify(
                orders.serviceClass() == null
                        ? request.serviceClass()
                        : config.hookRules.classIndex(orders.serviceClass()),
                orders.tenant() == null ? request.tenant() : config.hookRules.tenantIndex(orders.tenant()),
                orders.remainingMs() > 0 ? nowMs + orders.remainingMs() : request.dueMs());
        routeByHook = orders.route() == null ? routeByHook : config.route(orders.route());
    }

    private void reject(double afterMs) {
        onLoop(() -> {
            release();
            if (!clientGone) {
                responder.busy(afterMs);
            }
        });
    }

    private void release() {
        endHooks();
        core.closeId(request.id());
        request.release(core);
    }

    private void endHooks() {
        timeoutTimer.cancel();
        config.pendingRequests--;
    }

    @Override
    public void cancelValue() {
        if (routed != null) {
            routed.cancelValue();
        }
    }

    @Override
    public void clientDisconnected() {
        clientGone = true;
        if (routed != null) {
            routed.clientDisconnected();
        }
    }
}
