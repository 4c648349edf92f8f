package cacheproxy.daemon.hooks;

import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.ResponseObserver;
import cacheproxy.daemon.Router;
import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookOrders;
import cacheproxy.policy.PolicyApi.ServiceClass;
import cacheproxy.proxy.ClientRequest;
import cacheproxy.proxy.EventLoopContext;
import cacheproxy.proxy.RequestHandler;
import cacheproxy.proxy.Responder;
import cacheproxy.proxy.TimerWheel;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * A request that hooks look at before it is routed, one after another. Whatever they do, it goes on or is refused in
 * time: a hook has its own time and at most half of what the client still waits.
 *
 * <p>One hook's thread hands it straight on to the next one's, as each turn of the event loop in between would be taken
 * from other requests. It is in one hand at a time: the loop's at first, then that of the task which is out, whose end
 * is told once, by the hook's thread or, when its time is over, by the loop. Answers and routing are the loop's again.
 */
public final class HookedRequest implements RequestHandler.Handle {
    /** What a hook may take of the time that is left. */
    private static final double MAX_FRACTION_OF_TIME_LEFT = 0.5;
    /** A call whose time is over and whose end is just being told elsewhere is looked at again after so long. */
    private static final double MIN_TIMER_MS = 1;

    private final EventLoopContext core;
    private final Router router;
    private final ConfigSnapshot config;
    private final List<HookExecutor> hooks;
    private final String listener;
    private final Responder responder;
    private final int sentClass;
    /** What each of those that want to be told of the answer was asked. */
    private final Map<HookExecutor, HookCall> callsByHook = new IdentityHashMap<>(2);

    private ClientRequest request;
    private Route routeByHook;
    private int hookIndex;
    /** The call that is out; its time is watched by the loop. */
    private volatile HookExecutor.Task runningTask;

    private TimerWheel.Timer watchTimer;
    private volatile boolean gone;
    private RequestHandler.Handle routed;

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

    public RequestHandler.Handle start() {
        double shortest = hooks.stream()
                .mapToDouble(hook -> hook.config.limits().timeMs())
                .min()
                .orElse(0);
        watchTimer(Math.min(shortest, (request.dueMs() - core.now()) * MAX_FRACTION_OF_TIME_LEFT));
        next();
        return this;
    }

    /** One timer for all calls: set for the earliest that any may end, and again for the one that is out by then. */
    private void watchTimer(double afterMs) {
        watchTimer = core.after(Math.max(MIN_TIMER_MS, afterMs), () -> {
            HookExecutor.Task task = runningTask;
            double leftMs = task == null ? 0 : task.untilMs - core.now();
            watchTimer(leftMs); // before its end is told, which may be the last
            if (task != null && leftMs <= 0) {
                task.expire();
            }
        });
    }

    /** Does this on the loop, at once if that is where we are. */
    private void onLoop(Runnable last) {
        if (core.loop().inEventLoop()) {
            last.run();
        } else {
            core.loop().execute(last);
        }
    }

    private void next() {
        while (hookIndex < hooks.size()) {
            HookExecutor hook = hooks.get(hookIndex);
            if (!hook.config.routes().isEmpty() && !core.loop().inEventLoop()) {
                core.loop().execute(this::next); // routes are looked up there alone
                return;
            }
            hookIndex++;
            double nowMs = core.now();
            double leftMs = request.dueMs() - nowMs;
            if (!hook.config.routes().isEmpty() && !applies(hook)) {
                continue;
            }
            if (leftMs < 2) {
                refuse(hook.config.retryAfterMs());
                return;
            }
            if (!hook.breaker.call(nowMs)) {
                if (failed(hook)) {
                    return;
                }
                continue;
            }
            ServiceClass serviceClass = config.file.classes().get(request.serviceClass());
            String tenant = config.file.tenants().isEmpty()
                    ? ""
                    : config.file.tenants().get(request.tenant()).name();
            HookCall call = new HookCall(
                    request.key(), serviceClass.name(), tenant, request.write(), request.repeat(), (long) leftMs);
            if (hook.wantsAnswers()) {
                callsByHook.put(hook, call);
            }
            HookExecutor.Task task = hook.task(
                    call,
                    nowMs + Math.min(hook.config.limits().timeMs(), leftMs * MAX_FRACTION_OF_TIME_LEFT),
                    (orders, failure, run) -> ended(hook, orders, failure, run));
            runningTask = task;
            if (task.offer()) {
                return; // and it may be in other hands already
            }
            if (!task.withdraw()) {
                return;
            }
            callsByHook.remove(hook);
            hook.breaker.notRun();
            if (failed(hook)) {
                return;
            }
        }
        onLoop(() -> {
            if (gone) {
                release();
                return;
            }
            over();
            routed = router.route(config, listener, routeByHook, request, responder);
        });
    }

    /** Whether the request would go on one of the hook's routes as it is now. */
    private boolean applies(HookExecutor hook) {
        RouteInput input = config.file
                .keys()
                .subject(listener, request.key(), request.serviceClass(), request.tenant(), request.write());
        Route route = routeByHook != null
                ? routeByHook
                : input == null ? null : config.file.routes().find(input);
        return route != null && hook.config.routes().contains(route.name());
    }

    private void answered(HookCall.Answer answer) {
        long elapsed = Math.round(core.now() - request.arrivedMs());
        callsByHook.forEach((hook, call) -> hook.answered(call, answer, elapsed));
    }

    /** Where a hook fails: true if that ends the request. */
    private boolean failed(HookExecutor hook) {
        if (hook.config.rejectOnFailure()) {
            refuse(hook.config.retryAfterMs());
            return true;
        }
        return false;
    }

    private void note(HookExecutor hook, double nowMs, boolean failure, String fault) {
        if (hook.breaker.ended(nowMs, failure)) {
            onLoop(() -> core.log("hook " + hook.config.name() + " is switched off for "
                    + Math.round(hook.config.breakerOffMs()) + " ms, as too many calls fail; the last: " + fault));
        }
    }

    private void ended(HookExecutor hook, HookOrders orders, String failure, boolean run) {
        double nowMs = core.now();
        double leftMs = request.dueMs() - nowMs;
        String fault =
                failure != null ? failure : config.hookRules.refused(orders, sentClass, (long) Math.max(0, leftMs));
        if (run) {
            note(hook, nowMs, fault != null, fault);
        } else {
            hook.breaker.notRun();
        }
        if (gone) {
            onLoop(this::release);
            return;
        }
        if (fault != null) {
            if (!failed(hook)) {
                next();
            }
            return;
        }
        if (orders.note() != null && core.takesLines()) {
            onLoop(() -> core.log("hook " + hook.config.name() + ": " + orders.note()));
        }
        if (orders.refuseMs() > 0) {
            refuse(orders.refuseMs());
            return;
        }
        if (orders.key() != null && !orders.key().equals(request.key())) {
            request = request.moved(orders.key());
        }
        request.order(
                orders.serviceClass() == null
                        ? request.serviceClass()
                        : config.hookRules.classIndex(orders.serviceClass()),
                orders.tenant() == null ? request.tenant() : config.hookRules.tenantIndex(orders.tenant()),
                orders.remainingMs() > 0 ? nowMs + orders.remainingMs() : request.dueMs());
        routeByHook = orders.route() == null ? routeByHook : config.route(orders.route());
        next();
    }

    private void refuse(double afterMs) {
        onLoop(() -> {
            release();
            if (!gone) {
                responder.refused(afterMs);
            }
        });
    }

    private void release() {
        over();
        core.closeId(request);
        request.release(core);
    }

    private void over() {
        watchTimer.cancel();
        config.pendingRequests--;
    }

    @Override
    public void gone() {
        gone = true;
        if (routed != null) {
            routed.gone();
        }
    }
}
