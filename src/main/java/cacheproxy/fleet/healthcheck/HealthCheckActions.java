package cacheproxy.fleet.healthcheck;

/** What a {@link HealthCheckCoordinator} has done for it: messages, checks and reports. */
public interface HealthCheckActions {
    /** Sends a message to another proxy; it may be lost. */
    void send(long to, HealthCheckMessage message);

    /**
     * Starts a check of a server from this proxy, whose result goes to {@link HealthCheckCoordinator#finished}.
     *
     * @return false if the server is not known here
     */
    boolean startCheck(int server);

    /** The result of a check that was requested here. */
    void reportResult(int server, boolean healthy);
}
