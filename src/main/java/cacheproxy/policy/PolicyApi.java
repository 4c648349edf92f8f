package cacheproxy.policy;

import java.util.List;

/**
 * The events of a routing policy. Each carries the current time in milliseconds of one monotonic clock and the receiver
 * of the actions that it causes. Events of requests that have ended are ignored.
 */
public interface PolicyApi {

    /** {@link AttemptResult#cacheStatus} of a miss while another fetch of the key is pending. */
    int CACHE_STATUS_FETCH_PENDING = 3;

    /**
     * Handles the endpoint list, changes to it, or a failure to get it.
     *
     * @throws IllegalArgumentException if an endpoint is listed twice or has a value out of range
     */
    void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> endpoints, PolicyActions actions);

    /**
     * Handles a client's request, to which the policy must give exactly one final response.
     *
     * @throws IllegalArgumentException if its service class or tenant is not in the settings
     */
    void onRequest(double nowMs, RoutingRequest request, PolicyActions actions);

    /** Handles the first byte of a streamed response, after which the client can no longer get another response. */
    void onFirstByte(double nowMs, int requestId, int attempt, int serverId, PolicyActions actions);

    /** Handles the end of an attempt. */
    void onAttemptEnd(double nowMs, AttemptResult result, PolicyActions actions);

    /** Handles the disconnect of a client, after which no response is due. */
    void onClientGone(double nowMs, int requestId, PolicyActions actions);

    /** Handles a timer that is due. */
    void onTimer(double nowMs, int token, PolicyActions actions);

    /**
     * Handles the result of a health check.
     *
     * @param elapsedMs milliseconds since it was sent
     * @param loadReport the server's load report; null if there is none
     */
    void onProbeResult(
            double nowMs,
            int serverId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] loadReport,
            PolicyActions actions);

    /** Handles the answer to a sibling query: the id of a sibling that has the request's key, or 0 if none has it. */
    default void onSiblingResponse(double nowMs, int requestId, int siblingId, PolicyActions actions) {}

    /** Handles a message from another proxy, given by its index. */
    void onPeerMessage(double nowMs, int peerId, byte[] message, PolicyActions actions);
}
