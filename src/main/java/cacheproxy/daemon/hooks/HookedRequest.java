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
    private static final double PART = 0.5;
    /** A call whose time is over and whose end is just being told elsewhere is looked at again after so long. */
    private static final double LOOK_AGAIN_MS = 1;

    private final EventLoopContext core;
    private final Router router;
    private final ConfigSnapshot generation;
    private final List<HookExecutor> hooks;
    private final String listener;
    private final Responder responder;
    private final int sentClass;
    /** What each of those that want to be told of the answer was asked. */
    private final Map<HookExecutor, HookCall> asked = new IdentityHashMap<>(2);

    private ClientRequest command;
    private Route named;
    private int at;
    /** The call that is out; its time is watched by the loop. */
    private volatile HookExecutor.Task out;

    private TimerWheel.Timer watch;
    private volatile boolean gone;
    private RequestHandler.Handle routed;

    public HookedRequest(
            EventLoopContext core,
            Router router,
            ConfigSnapshot generation,
            List<HookExecutor> hooks,
            String listener,
            ClientRequest command,
            Responder responder) {
        this.core = core;
        this.router = router;
        this.generation = generation;
        this.hooks = hooks;
        this.listener = listener;
        this.command = command;
        this.responder = hooks.stream().anyMatch(HookExecutor::wantsAnswers)
                ? new ResponseObserver(responder, this::answered)
                : responder;
        sentClass = command.serviceClass();
        generation.inHand++;
    }

    public RequestHandler.Handle start() {
        double shortest =
                hooks.stream().mapToDouble(h -> h.spec.limits().timeMs()).min().orElse(0);
        watch(Math.min(shortest, (command.dueMs() - core.now()) * PART));
        next();
        return this;
    }

    /** One timer for all calls: set for the earliest that any may end, and again for the one that is out by then. */
    private void watch(double afterMs) {
        watch = core.after(Math.max(LOOK_AGAIN_MS, afterMs), () -> {
            HookExecutor.Task t = out;
            double left = t == null ? 0 : t.untilMs - core.now();
            watch(left); // before its end is told, which may be the last
            if (t != null && left <= 0) {
                t.expire();
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
        while (at < hooks.size()) {
            HookExecutor hook = hooks.get(at);
            if (!hook.spec.routes().isEmpty() && !core.loop().inEventLoop()) {
                core.loop().execute(this::next); // routes are looked up there alone
                return;
            }
            at++;
            double now = core.now();
            double left = command.dueMs() - now;
            if (!hook.spec.routes().isEmpty() && !applies(hook)) {
                continue;
            }
            if (left < 2) {
                refuse(hook.spec.retryAfterMs());
                return;
            }
            if (!hook.breaker.call(now)) {
                if (failed(hook)) {
                    return;
                }
                continue;
            }
            ServiceClass kind = generation.file.classes().get(command.serviceClass());
            String tenant = generation.file.tenants().isEmpty()
                    ? ""
                    : generation.file.tenants().get(command.tenant()).name();
            HookCall call =
                    new HookCall(command.key(), kind.name(), tenant, command.write(), command.repeat(), (long) left);
            if (hook.wantsAnswers()) {
                asked.put(hook, call);
            }
            HookExecutor.Task task = hook.task(
                    call,
                    now + Math.min(hook.spec.limits().timeMs(), left * PART),
                    (orders, failure, run) -> ended(hook, orders, failure, run));
            out = task;
            if (task.offer()) {
                return; // and it may be in other hands already
            }
            if (!task.withdraw()) {
                return;
            }
            asked.remove(hook);
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
            routed = router.route(generation, listener, named, command, responder);
        });
    }

    /** Whether the request would go on one of the hook's routes as it is now. */
    private boolean applies(HookExecutor hook) {
        RouteInput s = generation
                .file
                .keys()
                .subject(listener, command.key(), command.serviceClass(), command.tenant(), command.write());
        Route r = named != null
                ? named
                : s == null ? null : generation.file.routes().find(s);
        return r != null && hook.spec.routes().contains(r.name());
    }

    private void answered(HookCall.Answer answer) {
        long elapsed = Math.round(core.now() - command.arrivedMs());
        asked.forEach((hook, call) -> hook.answered(call, answer, elapsed));
    }

    /** Where a hook fails: true if that ends the request. */
    private boolean failed(HookExecutor hook) {
        if (hook.spec.rejectOnFailure()) {
            refuse(hook.spec.retryAfterMs());
            return true;
        }
        return false;
    }

    private void note(HookExecutor hook, double now, boolean failure, String why) {
        if (hook.breaker.ended(now, failure)) {
            onLoop(() -> core.log("hook " + hook.spec.name() + " is switched off for "
                    + Math.round(hook.spec.breakerOffMs()) + " ms, as too many calls fail; the last: " + why));
        }
    }

    private void ended(HookExecutor hook, HookOrders orders, String failure, boolean run) {
        double now = core.now();
        double left = command.dueMs() - now;
        String why = failure != null ? failure : generation.rules.refused(orders, sentClass, (long) Math.max(0, left));
        if (run) {
            note(hook, now, why != null, why);
        } else {
            hook.breaker.notRun();
        }
        if (gone) {
            onLoop(this::release);
            return;
        }
        if (why != null) {
            if (!failed(hook)) {
                next();
            }
            return;
        }
        if (orders.note() != null && core.takesLines()) {
            onLoop(() -> core.log("hook " + hook.spec.name() + ": " + orders.note()));
        }
        if (orders.refuseMs() > 0) {
            refuse(orders.refuseMs());
            return;
        }
        if (orders.key() != null && !orders.key().equals(command.key())) {
            command = command.moved(orders.key());
        }
        command.order(
                orders.serviceClass() == null
                        ? command.serviceClass()
                        : generation.rules.classIndex(orders.serviceClass()),
                orders.tenant() == null ? command.tenant() : generation.rules.tenantIndex(orders.tenant()),
                orders.remainingMs() > 0 ? now + orders.remainingMs() : command.dueMs());
        named = orders.route() == null ? named : generation.route(orders.route());
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
        core.closeId(command);
        command.release(core);
    }

    private void over() {
        watch.cancel();
        generation.inHand--;
    }

    @Override
    public void gone() {
        gone = true;
        if (routed != null) {
            routed.gone();
        }
    }
}
