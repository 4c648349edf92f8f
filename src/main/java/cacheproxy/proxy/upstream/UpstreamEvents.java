package cacheproxy.proxy.upstream;

import cacheproxy.eventlog.EventLog;
import cacheproxy.eventlog.ProxyEvent;

/** The event-log lines of connections to servers. */
final class UpstreamEvents {
    private UpstreamEvents() {}

    /**
     * Logs that a connection has been established or has failed.
     *
     * @param failure the cause of the failure; null if the connection has been established
     */
    static void logConnected(EventLog events, UpstreamConnection connection, Throwable failure) {
        if (events.isEnabled()) {
            events.line(ProxyEvent.SERVER_CONNECTED)
                    .with("server", connection.name())
                    .with("queued", connection.queueLength())
                    .with("cause", failure == null ? "ok" : failure.getClass().getSimpleName())
                    .write();
        }
    }

    /** Logs that a connection has closed; its attempts have not ended yet. */
    static void logDisconnected(EventLog events, UpstreamConnection connection) {
        if (events.isEnabled()) {
            events.line(ProxyEvent.SERVER_DISCONNECTED)
                    .with("server", connection.name())
                    .with("by", connection.isClosedByProxy() ? "proxy" : "server")
                    .with("connected", connection.isConnected())
                    .with("retired", connection.isRetired())
                    .with("out", connection.queueLength())
                    .write();
        }
    }
}
