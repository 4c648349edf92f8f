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
    private final ConfigSnapshot generation;
    private final List<PoolRuntime> chain;
    private final RouteInput subject;
    private final Route route;
    private final ServiceClass kind;
    /** As pools get it. */
    private final ClientRequest command;
    /** As the client sent it, where a route has changed the key; else null. */
    private final ClientRequest original;

    private final Responder client;
    private int at = -1;
    private RequestContext current;
    private boolean over;
    private boolean mayHaveRun;
    /** What drops repeats in all pools in which it may have run; null where that is nothing, or more than one. */
    private String ranGroup;

    private boolean failed;
    /** Whether the last pool that was asked has said that it lacks the key: then that is the answer. */
    private boolean missed;

    private double advice;
    /**
     * What it has taken of the fleet's limits: of those that concern all pools, and of the present pool's; null:
     * nothing.
     */
    private LocalQuota[] taken;

    private LocalQuota[] takenOfPool;

    /** Takes the commands over; {@code original} is null unless the key was changed. */
    RoutedRequest(
            EventLoopContext core,
            ConfigSnapshot generation,
            RouteInput subject,
            Route route,
            ClientRequest command,
            ClientRequest original,
            Responder client) {
        this.core = core;
        this.generation = generation;
        this.subject = subject;
        this.route = route;
        chain = generation.chain(route);
        this.command = command;
        this.original = original;
        this.client = client;
        kind = generation.file.classes().get(command.serviceClass());
        generation.inHand++;
    }

    /** Goes to the next pool that takes it, or ends. */
    void next() {
        if (at < 0 && generation.limits != null) {
            LocalQuota[] all = generation.limits.quotasFor("", command);
            double wait = generation.limits.requestWaitMs(all, core.now());
            if (wait > 0) {
                over();
                client.refused(wait);
                return;
            }
            taken = take(all);
        }
        while (++at < chain.size()) {
            PoolRuntime pool = chain.get(at);
            double now = core.now();
            if (!Fallback.mayGoOn(kind, mayHaveRun, ranGroup, pool.dedupGroup(), now, command.arrivedMs())) {
                break;
            }
            double due =
                    Fallback.dueMs(kind, mayHaveRun, at == chain.size() - 1, now, command.arrivedMs(), command.dueMs());
            if (due <= now) {
                break;
            }
            LocalQuota[] own = generation.limits == null ? null : generation.limits.quotasFor(pool.name, command);
            double wait = own == null ? 0 : generation.limits.requestWaitMs(own, now);
            wait = wait > 0 ? wait : pool.admit(now);
            if (wait > 0) {
                advice = Math.max(advice, wait);
                continue;
            }
            RequestContext x =
                    RequestContext.of(pool.dispatcher, command, pool.number(subject, route, command.key()), this, due);
            current = x;
            takenOfPool = own == null ? null : take(own);
            pool.dispatcher.take(x);
            return;
        }
        if (failed || !Fallback.mayRefuse(kind, mayHaveRun)) {
            over();
            client.failed();
        } else if (missed) {
            over();
            client.miss();
        } else {
            over();
            client.refused(advice);
        }
    }

    private static LocalQuota[] take(LocalQuota[] of) {
        for (LocalQuota p : of) {
            p.consume();
        }
        return of;
    }

    private static void give(LocalQuota[] of) {
        if (of != null) {
            for (LocalQuota p : of) {
                p.release();
            }
        }
    }

    private void givenUp(boolean hasMissed, boolean hasFailed, double retryAfterMs) {
        if (over) {
            return;
        }
        give(takenOfPool);
        takenOfPool = null;
        if (current.mayHaveRun()) {
            String group = chain.get(at).dedupGroup();
            ranGroup = mayHaveRun && (ranGroup == null || !ranGroup.equals(group)) ? null : group;
            mayHaveRun = true;
        }
        failed = hasFailed;
        missed = hasMissed;
        advice = Math.max(advice, retryAfterMs);
        next();
    }

    private void over() {
        over = true;
        give(taken);
        give(takenOfPool);
        generation.inHand--;
        core.closeId(command);
        command.release(core);
        if (original != null) {
            original.release(core);
        }
    }

    @Override
    public void miss() {
        givenUp(true, false, 0);
    }

    @Override
    public void refused(double retryAfterMs) {
        givenUp(false, false, retryAfterMs);
    }

    @Override
    public void failed() {
        givenUp(false, true, 0);
    }

    @Override
    public void value(ByteBuf value) {
        over();
        client.value(value);
    }

    @Override
    public void receipt(String receipt) {
        over();
        client.receipt(receipt);
    }

    @Override
    public void rejected(String why) {
        over();
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
        over();
        client.end();
    }

    @Override
    public void breakOff() {
        if (!over) {
            over();
        }
        client.breakOff();
    }

    @Override
    public void gone() {
        if (!over) {
            over();
            current.gone();
        }
    }
}
