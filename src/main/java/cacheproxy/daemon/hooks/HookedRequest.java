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
 * A request that passes hooks, one after another, before it is routed. Whatever they do, it is routed or rejected in
 * time: each hook has a timeout, and at most half of the time left until the request's deadline.
 *
 * <p>One hook's thread hands the request directly to the next one's, as each turn of the event loop in between would
 * delay other requests. One thread owns it at a time: the event loop's first, then that of the running task, whose end
 * is reported once, by the hook's thread or, on a timeout, by the event loop. Responses and routing belong to the event
 * loop again.
 */
public final class HookedRequest implements RequestHandler.Handle {
    /** A request with less time left is rejected. */
    private static final double MIN_TIME_LEFT_MS = 2;
    /** The part of the time left that one hook may take. */
    private static final double MAX_FRACTION_OF_TIME_LEFT = 0.5;
    /** A call that has timed out, but is being concluded by the hook's thread, is checked again after this time. */
    private static final double MIN_TIMER_MS = 1;

    private final EventLoopContext core;
    private final Router router;
    private final ConfigSnapshot config;
    private final List<HookExecutor> hooks;
    private final String listener;
    private final Responder responder;
    private final int sentClass;
    /** The calls of those hooks that want to know the response. */
    private final IdentityHashMap<HookExecutor, HookCall> callsByHook = new IdentityHashMap<>(2);

    private ClientRequest request;
    private Route routeByHook;
    private int hookIndex;
    /** The call in progress; its timeout is watched by the event loop. */
    private volatile HookExecutor.Task runningTask;

    private TimerWheel.Timer watchTimer;
    private volatile boolean gone;
    private RequestHandler.Handle routed;

    /** Takes the request over. */
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
                ? new ResponseObserver(responder, this::answered)
                : responder;
        sentClass = request.serviceClass();
        config.pendingRequests++;
    }

    /** Calls the first hook; on the event loop. */
    public RequestHandler.Handle start() {
        double shortest = hooks.stream()
                .mapToDouble(hook -> hook.config.limits().timeMs())
                .min()
                .orElse(0);
        watchTimer(Math.min(shortest, (request.dueMs() - core.nowMs()) * MAX_FRACTION_OF_TIME_LEFT));
        next();
        return this;
    }

    /** One timer serves all calls: it is set for the earliest timeout, and then again for the call in progress. */
    private void watchTimer(double afterMs) {
        watchTimer = core.after(Math.max(MIN_TIMER_MS, afterMs), () -> {
            HookExecutor.Task task = runningTask;
            double leftMs = task == null ? 0 : task.deadlineMs - core.nowMs();
            watchTimer(leftMs); // before the timeout, which may conclude the request
            if (task != null && leftMs <= 0) {
                task.expire();
            }
        });
    }

    /** Runs a task on the event loop, at once if this is it. */
    private void onLoop(Runnable task) {
        if (core.loop().inEventLoop()) {
            task.run();
        } else {
            core.loop().execute(task);
        }
    }

    /** Calls the next hook that applies, or routes the request after the last one. */
    private void next() {
        while (hookIndex < hooks.size()) {
            HookExecutor hook = hooks.get(hookIndex);
            boolean ofSomeRoutes = !hook.config.routes().isEmpty();
            if (ofSomeRoutes && !core.loop().inEventLoop()) {
                core.loop().execute(this::next); // routes are looked up there alone
                return;
            }
            hookIndex++;
            double nowMs = core.nowMs();
            boolean applies = !ofSomeRoutes || applies(hook);
            if (applies && !skip(hook, nowMs)) {
                return;
            }
        }
        onLoop(this::route);
    }

    /** Calls a hook unless it can't be called now; returns whether the request goes on to the next hook at once. */
    private boolean skip(HookExecutor hook, double nowMs) {
        double leftMs = request.dueMs() - nowMs;
        if (leftMs < MIN_TIME_LEFT_MS) {
            refuse(hook.config.retryAfterMs());
            return false;
        }
        if (!hook.breaker.tryCall(nowMs)) {
            return !rejectedByFailure(hook);
        }
        HookCall call = newCall(leftMs);
        if (hook.wantsAnswers()) {
            callsByHook.put(hook, call);
        }
        HookExecutor.Task task = hook.task(
                call,
                nowMs + Math.min(hook.config.limits().timeMs(), leftMs * MAX_FRACTION_OF_TIME_LEFT),
                (orders, failure, called) -> ended(hook, orders, failure, called));
        runningTask = task;
        if (task.offer()) {
            return false; // the hook's thread may have it already
        }
        if (!task.withdraw()) {
            return false;
        }
        callsByHook.remove(hook);
        hook.breaker.recordNotRun();
        return !rejectedByFailure(hook);
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
        if (gone) {
            release();
            return;
        }
        over();
        routed = router.route(config, listener, routeByHook, request, responder);
    }

    /** Returns whether the request, as it is now, takes one of the hook's routes. */
    private boolean applies(HookExecutor hook) {
        RouteInput input = config.file
                .keys()
                .parse(listener, request.key(), request.serviceClass(), request.tenant(), request.isWrite());
        Route route = routeByHook != null
                ? routeByHook
                : input == null ? null : config.file.routes().find(input);
        return route != null && hook.config.routes().contains(route.name());
    }

    private void answered(HookCall.Answer answer) {
        long elapsedMs = Math.round(core.nowMs() - request.arrivedMs());
        callsByHook.forEach((hook, call) -> hook.notifyAnswer(call, answer, elapsedMs));
    }

    /** Rejects the request if the hook's failure has to; returns whether it did. */
    private boolean rejectedByFailure(HookExecutor hook) {
        if (hook.config.rejectOnFailure()) {
            refuse(hook.config.retryAfterMs());
            return true;
        }
        return false;
    }

    private void recordOutcome(HookExecutor hook, double nowMs, boolean failure, String fault) {
        if (hook.breaker.recordResult(nowMs, failure)) {
            onLoop(() -> core.log("hook " + hook.config.name() + " is switched off for "
                    + Math.round(hook.config.breakerOffMs()) + " ms, as too many calls fail; the last: " + fault));
        }
    }

    private void ended(HookExecutor hook, HookOrders orders, String failure, boolean called) {
        double nowMs = core.nowMs();
        double leftMs = request.dueMs() - nowMs;
        String fault =
                failure != null ? failure : config.hookRules.violation(orders, sentClass, (long) Math.max(0, leftMs));
        if (called) {
            recordOutcome(hook, nowMs, fault != null, fault);
        } else {
            hook.breaker.recordNotRun();
        }
        if (gone) {
            onLoop(this::release);
            return;
        }
        if (fault != null) {
            if (!rejectedByFailure(hook)) {
                next();
            }
            return;
        }
        if (orders.note() != null && core.takesLines()) {
            onLoop(() -> core.log("hook " + hook.config.name() + ": " + orders.note()));
        }
        if (orders.refuseMs() > 0) {
            refuse((double) orders.refuseMs());
            return;
        }
        apply(orders, nowMs);
        next();
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

    private void refuse(double afterMs) {
        onLoop(() -> {
            release();
            if (!gone) {
                responder.busy(afterMs);
            }
        });
    }

    private void release() {
        over();
        core.closeId(request.id());
        request.release(core);
    }

    private void over() {
        watchTimer.cancel();
        config.pendingRequests--;
    }

    @Override
    public void clientDisconnected() {
        gone = true;
        if (routed != null) {
            routed.clientDisconnected();
        }
    }
}
