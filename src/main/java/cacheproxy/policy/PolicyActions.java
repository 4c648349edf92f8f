package cacheproxy.policy;

/** Receives the policy's actions, which are carried out in order at the time of the event. Times are milliseconds. */
public interface PolicyActions {
    /**
     * Sends an attempt of a request. Attempts of a request are numbered from 0 in the order of sending.
     *
     * @param timeoutMs how long to wait for its end; 0 to wait until the request's deadline
     */
    void sendAttempt(int requestId, int serverId, double timeoutMs);

    /**
     * Gives the final response that the request was rejected, after which the client can safely retry.
     *
     * @param retryAfterMs time after which the client should retry; 0 if the client gets no such time
     */
    void reject(int requestId, double retryAfterMs);

    /** Gives the final response that the request has failed and may have taken effect. */
    void fail(int requestId);

    /** Stops waiting for an attempt; its end is still reported. */
    void cancelAttempt(int requestId, int attempt);

    /** Requests a call of {@link PolicyApi#onTimer} with this token after a delay. Timers cannot be cancelled. */
    void setTimer(double delayMs, int token);

    /**
     * Asks siblings whether they have a request's key; {@link PolicyApi#onSiblingResponse} reports the first one that
     * has it.
     *
     * @param waitMs how long to wait for their answers
     */
    default void querySiblings(int requestId, double waitMs) {}

    /** Sends a health check to a server; {@link PolicyApi#onProbeResult} reports its result. */
    void probeServer(int serverId);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(int serverId);

    /** Sends a message to another proxy, given by its index, or to all if the index is -1. */
    void sendToPeer(int peerId, byte[] message);

    /** Subscribes to changes of the endpoint list, or ends the subscription. */
    void watchEndpointList(boolean enabled);

    /** Asks for the whole endpoint list once. */
    void fetchEndpointList();

    /** Writes a log line for the operators. */
    void log(String line);
}
