package cacheproxy.policy;

import java.util.List;

/** What the decision module is told and what it can order: its settings, events and actions. */
public interface PolicyApi {

    int CACHE_STATUS_FETCH_PENDING = 3;

    /** News of the list of servers. */
    void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> endpoints, PolicyActions actions);

    /** A client's request; the instance now owes exactly one final answer. */
    void onRequest(double nowMs, RoutingRequest request, PolicyActions actions);

    /** A streamed answer has begun. */
    void onFirstByte(double nowMs, int requestId, int attempt, int serverId, PolicyActions actions);

    /** An attempt has ended. */
    void onAttemptEnd(double nowMs, AttemptResult result, PolicyActions actions);

    /** The client has left; no answer is owed. */
    void onClientGone(double nowMs, int requestId, PolicyActions actions);

    /** A timer has come due. */
    void onTimer(double nowMs, int token, PolicyActions actions);

    /** The result of a probe. */
    void onProbeResult(
            double nowMs,
            int serverId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] loadReport,
            PolicyActions actions);

    /** A sibling says that it has the key of a request whose siblings were asked; 0: all of them say they lack it. */
    default void onSiblingResponse(double nowMs, int requestId, int siblingId, PolicyActions actions) {}

    /** A message of another instance. */
    void onPeerMessage(double nowMs, int peerId, byte[] message, PolicyActions actions);
}
