package cacheproxy.proxy.dispatch;

import cacheproxy.eventlog.EventLine;
import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.upstream.EventLoopContext;

/** Writes the events of a pool's requests and attempts to the event log; nothing while the log is disabled. */
final class RequestEventLog {
    private final EventLoopContext loopContext;
    private final PolicySettings settings;
    private final PoolServers servers;

    RequestEventLog(EventLoopContext loopContext, PolicySettings settings, PoolServers servers) {
        this.loopContext = loopContext;
        this.settings = settings;
        this.servers = servers;
    }

    /** Logs that a request has arrived. */
    void requestReceived(RequestContext context, double nowMs) {
        if (loopContext.events().isEnabled()) {
            line(ProxyEvent.REQUEST_RECEIVED, context)
                    .with("class", context.serviceClass(settings).name())
                    .withMs("left_ms", context.dueMs() - nowMs)
                    .write();
        }
    }

    /** Logs that the client of a request has disconnected before its response. */
    void requestAbandoned(RequestContext context) {
        if (loopContext.events().isEnabled()) {
            line(ProxyEvent.REQUEST_ABANDONED, context)
                    .withMs("left_ms", context.dueMs() - loopContext.nowMs())
                    .with("in_flight", context.inFlightAttempts())
                    .write();
        }
    }

    /**
     * Logs that a request has been concluded. The logged cause is the outcome of the attempt that ended last, if there
     * was one.
     */
    void requestConcluded(RequestContext context, ResponseKind kind) {
        if (loopContext.events().isEnabled()) {
            line(ProxyEvent.REQUEST_ANSWERED, context)
                    .with("kind", kind.label())
                    .with("attempts", context.attempts().size())
                    .with("cause", context.lastOutcome() == null ? "not_sent_on" : context.lastOutcome())
                    .withMs("left_ms", context.dueMs() - loopContext.nowMs())
                    .write();
        }
    }

    /** Logs that an attempt's first byte is about to be written. */
    void attemptStarted(RequestAttempt attempt) {
        if (loopContext.events().isEnabled()) {
            RequestContext context = attempt.context();
            line(ProxyEvent.ATTEMPT_STARTED, context)
                    .with("n", attempt.index())
                    .with("server", attempt.connection().name())
                    .with("cause", causeOf(attempt))
                    .withMs("left_ms", attempt.timeoutAtMs() - loopContext.nowMs())
                    .withMs("client_left_ms", context.dueMs() - loopContext.nowMs())
                    .withMs("queued_ms", loopContext.nowMs() - attempt.startedMs())
                    .with("depth", attempt.connection().queueLength())
                    .write();
        }
    }

    private static String causeOf(RequestAttempt attempt) {
        if (attempt.index() == 0) {
            return "first";
        }
        RequestContext context = attempt.context();
        return context.inFlightAttempts() > 1 ? "hedge" : "after_" + context.lastOutcome();
    }

    /** Logs that an attempt has ended. */
    void attemptEnded(RequestAttempt attempt, AttemptOutcome outcome, double elapsedMs) {
        if (loopContext.events().isEnabled()) {
            line(ProxyEvent.ATTEMPT_ENDED, attempt.context())
                    .with("n", attempt.index())
                    .with("server", servers.name(attempt.server()))
                    .with("outcome", outcome)
                    .with("begun", attempt.hasBegun())
                    .with("written", attempt.isWritten())
                    .withMs("ms", elapsedMs)
                    .write();
        }
    }

    private EventLine line(ProxyEvent event, RequestContext context) {
        return loopContext.events().line(event).with("id", context.request().id());
    }
}
