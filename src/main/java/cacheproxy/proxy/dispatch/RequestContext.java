package cacheproxy.proxy.dispatch;

import cacheproxy.invariant.SendFacts;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Idempotency;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.UpstreamConnection;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

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
    final List<Attempt> attempts = new ArrayList<>(3);

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
    public void gone() {
        dispatcher.gone(this);
    }

    public static final class Attempt implements SendFacts {
        /** Null for a probe. */
        public final RequestContext exchange;

        public final Dispatcher owner;
        public final int index;
        public final int server;
        public final double sentMs;
        /** When the proxy stops waiting. */
        public final double untilMs;
        /**
         * When it may still begin, where an earlier one may have run: servers drop a repeat for so long and no longer.
         */
        double beginByMs = Double.POSITIVE_INFINITY;

        public UpstreamConnection connection;
        /** Its first byte has been handed on. */
        public boolean begun;
        /** Its last byte has been written. */
        public boolean written;
        /** It has had its one outcome. */
        public boolean ended;
        /** Whether its outcome leaves open that it has run. */
        boolean mayHaveRun;
        /** When the first bytes of a long answer came, else 0. */
        double firstByteMs;
        /** Who hears of a probe's end; null: the module. */
        Consumer<AttemptOutcome> asked;

        Timer timer;

        Attempt(Dispatcher owner, RequestContext exchange, int index, int server, double sentMs, double untilMs) {
            this.owner = owner;
            this.exchange = exchange;
            this.index = index;
            this.server = server;
            this.sentMs = sentMs;
            this.untilMs = untilMs;
        }

        /**
         * The deadline that its server is told: whole milliseconds until the proxy stops waiting, never more than the
         * client has left. To be reckoned anew each time that it is sent.
         */
        public int deadlineToTellMs(double nowMs) {
            double leftMs = Math.min(deadlineMs(), exchange.command.clientDueMs) - nowMs;
            return (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(leftMs)));
        }

        @Override
        public double deadlineMs() {
            return Math.min(untilMs, exchange.dueMs);
        }

        @Override
        public boolean abandoned() {
            return exchange.over;
        }

        @Override
        public double retryUntilMs() {
            return beginByMs;
        }

        @Override
        public boolean singleEffect() {
            return owner.effect(exchange) == Idempotency.NON_IDEMPOTENT;
        }

        @Override
        public boolean earlierAttemptMayHaveRun() {
            for (int i = 0; i < exchange.attempts.size(); i++) {
                Attempt other = exchange.attempts.get(i);
                if (other != this && other.begun && (!other.ended || other.mayHaveRun)) {
                    return true;
                }
            }
            return false;
        }

        @Override
        public boolean earlierAttemptInFlight() {
            for (int i = 0; i < exchange.attempts.size(); i++) {
                Attempt other = exchange.attempts.get(i);
                if (other != this && other.begun && !other.ended) {
                    return true;
                }
            }
            return false;
        }

        @Override
        public boolean hedgingAllowed() {
            return owner.secondCopies();
        }

        @Override
        public double serverUnavailableSinceMs() {
            return connection.serverLeftMs();
        }
    }
}
