package cacheproxy.policy;

/** Where the module's orders go. They are carried out in order, at the time of the event. */
public interface PolicyActions {
    /** Sends an attempt of a request to a server; a timeout of 0 waits until the request is due. Milliseconds. */
    void sendAttempt(int requestId, int serverId, double timeoutMs);

    /** Final answer: turned away, a retry is harmless. Advice 0: none. */
    void reject(int requestId, double retryAfterMs);

    /** Final answer: failed, nothing promised. */
    void fail(int requestId);

    /** Stops waiting for an attempt. */
    void cancelAttempt(int requestId, int attempt);

    /** Asks for {@link PolicyApi#onTimer} after this time. */
    void setTimer(double delayMs, int token);

    /** Asks siblings about a request's key; {@link PolicyApi#onSibling} tells of the first that has it. */
    default void querySiblings(int requestId, double waitMs) {}

    /** Tests a server. */
    void probeServer(int serverId);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(int serverId);

    /** Sends bytes to another instance; -1: to all. */
    void sendToPeer(int peerId, byte[] message);

    /** Subscribes to changes of the list, or ends that. */
    void watchEndpointList(boolean enabled);

    /** Asks for the whole list once. */
    void fetchEndpointList();

    /** A line for the operators. */
    void log(String line);
}
