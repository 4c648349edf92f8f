package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import java.util.ArrayList;
import java.util.List;

/** A request in a pool's hands, with its attempts. */
public final class RequestContext implements RequestHandler.Handle {
    final Dispatcher dispatcher;
    public final ClientRequest command;
    final Responder responder;
    /** By which the pool's module knows the request. */
    final long keyNumber;
    /** Whether the request's id is open for as long as this is: not where another holds the request, too. */
    final boolean holdsId;

    int id;
    public double dueMs;
    boolean over;
    boolean streaming;
    public int out;
    /** Whether a server has answered that it lacks the key. */
    boolean missed;
    /** Whether an attempt that has ended may have run. */
    boolean mayHaveRun;
    /** What the attempt that ended last ended with; null: none has. */
    public AttemptOutcome lastOutcome;

    Timer timer;
    final List<RequestAttempt> attempts = new ArrayList<>(3);

    RequestContext(Dispatcher dispatcher, ClientRequest command, long keyNumber, Responder responder, boolean holdsId) {
        this.dispatcher = dispatcher;
        this.command = command;
        this.keyNumber = keyNumber;
        this.responder = responder;
        this.holdsId = holdsId;
    }

    /** One that a router hands on; it holds the command until its attempts have ended. */
    public static RequestContext of(
            Dispatcher pool, ClientRequest command, long keyNumber, Responder responder, double dueMs) {
        RequestContext x = new RequestContext(pool, command.retain(), keyNumber, responder, false);
        x.dueMs = dueMs;
        return x;
    }

    /** Whether any attempt may have run, or may yet. */
    public boolean mayHaveRun() {
        return mayHaveRun || out > 0;
    }

    @Override
    public void clientDisconnected() {
        dispatcher.gone(this);
    }
}
