package cacheproxy.fleet.healthcheck;

/** Actions that a {@link HealthCheckCoordinator} requests from its owner: messages, checks and reports. */
public interface HealthCheckActions {
    /** Sends a message to another proxy; it may be lost. */
    void send(long to, HealthCheckMessage message);

    /**
     * Starts a check of a server from this proxy, whose result goes to {@link HealthCheckCoordinator#finished}.
     *
     * @return false if this proxy does not know the server
     */
    boolean startCheck(int server);

    /** Reports the result of a check that this proxy requested. */
    void reportResult(int server, boolean healthy);
}
