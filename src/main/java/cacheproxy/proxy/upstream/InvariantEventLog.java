package cacheproxy.proxy.upstream;

import cacheproxy.eventlog.EventLog;
import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.invariant.Invariant;
import cacheproxy.invariant.InvariantListener;
import cacheproxy.proxy.net.StandardErrorLog;

/**
 * Writes actions that an invariant has stopped, and violations of invariants, to the event log. A violation is also
 * written to standard error, whether or not the event log is enabled.
 */
final class InvariantEventLog implements InvariantListener {
    private final EventLog events;
    private final StandardErrorLog errors;

    InvariantEventLog(EventLog events, StandardErrorLog errors) {
        this.events = events;
        this.errors = errors;
    }

    @Override
    public void stopped(Invariant invariant, String requestId, String reason) {
        write(ProxyEvent.ACTION_STOPPED, invariant, requestId, reason);
    }

    @Override
    public void violated(Invariant invariant, String requestId, String reason) {
        errors.write("invariant violated: " + invariant.label() + ", request " + requestId + ": " + reason);
        write(ProxyEvent.INVARIANT_VIOLATED, invariant, requestId, reason);
    }

    private void write(ProxyEvent event, Invariant invariant, String requestId, String reason) {
        if (events.isEnabled()) {
            events.line(event)
                    .with("id", requestId)
                    .with("invariant", invariant.label())
                    .with("reason", reason)
                    .write();
        }
    }
}
