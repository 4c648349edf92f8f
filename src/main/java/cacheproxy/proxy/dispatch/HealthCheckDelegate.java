package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;

/** Can perform health checks in place of a pool. Used on the event loop only. */
public interface HealthCheckDelegate {
    /** Takes over no checks. */
    HealthCheckDelegate NONE = server -> false;

    /**
     * Takes over the check of a server that the policy has requested, if possible.
     *
     * @return false if the pool must perform the check itself; otherwise the result is reported to
     *     {@link Dispatcher#healthCheckCompleted}
     */
    boolean takeOver(int server);

    /** Called when an attempt of a client's request has ended. */
    default void attemptEnded(int server, AttemptOutcome outcome) {}
}
