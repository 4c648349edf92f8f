package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;

/** Whoever may make health checks in a pool's place. On the event loop only. */
public interface HealthCheckDelegate {
    /** Takes over no check. */
    HealthCheckDelegate NONE = server -> false;

    /**
     * Takes over the check of a server that the policy has ordered.
     *
     * @return false if the pool has to make it; else {@link Dispatcher#healthCheckCompleted} reports its result
     */
    boolean takeOver(int server);

    /** An attempt of a client's request has ended. */
    default void attemptEnded(int server, AttemptOutcome outcome) {}
}
