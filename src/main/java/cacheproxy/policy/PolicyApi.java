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
     * The endpoint list, changes of it, or the failure of a call for it.
     *
     * @throws IllegalArgumentException if an endpoint is listed twice or has a figure out of range
     */
    void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> endpoints, PolicyActions actions);

    /**
     * A client's request. The policy now owes exactly one final response.
     *
     * @throws IllegalArgumentException if the settings lack its class or tenant
     */
    void onRequest(double nowMs, RoutingRequest request, PolicyActions actions);

    /** A streamed response has begun to reach the client, which can no longer get another. */
    void onFirstByte(double nowMs, int requestId, int attempt, int serverId, PolicyActions actions);

    /** An attempt has ended. */
    void onAttemptEnd(double nowMs, AttemptResult result, PolicyActions actions);

    /** The client has left; no response is owed. */
    void onClientGone(double nowMs, int requestId, PolicyActions actions);

    /** A timer is due. */
    void onTimer(double nowMs, int token, PolicyActions actions);

    /**
     * The result of a health check.
     *
     * @param elapsedMs milliseconds since it was sent
     * @param loadReport the server's load report; null: none
     */
    void onProbeResult(
            double nowMs,
            int serverId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] loadReport,
            PolicyActions actions);

    /** A sibling has the key of a request whose siblings were queried; id 0: all of them lack it. */
    default void onSiblingResponse(double nowMs, int requestId, int siblingId, PolicyActions actions) {}

    /** A message of another proxy, given by its index. */
    void onPeerMessage(double nowMs, int peerId, byte[] message, PolicyActions actions);
}
