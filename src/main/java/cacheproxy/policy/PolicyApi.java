package cacheproxy.policy;

import java.util.List;

/** What the decision module is told and what it can order: its settings, events and actions. */
public interface PolicyApi {

    int NOTE_FETCH_OUT = 3;

    /** News of the list of servers. */
    void onList(double now, EndpointListKind kind, List<Endpoint> members, PolicyActions out);

    /** A client's request; the instance now owes exactly one final answer. */
    void onRequest(double now, RoutingRequest request, PolicyActions out);

    /** A streamed answer has begun. */
    void onFirstByte(double now, int request, int attempt, int server, PolicyActions out);

    /** An attempt has ended. */
    void onAttemptEnd(double now, AttemptResult end, PolicyActions out);

    /** The client has left; no answer is owed. */
    void onGone(double now, int request, PolicyActions out);

    /** A timer has come due. */
    void onTimer(double now, int token, PolicyActions out);

    /** The result of a probe. */
    void onProbed(double now, int server, AttemptOutcome outcome, double elapsedMs, float[] report, PolicyActions out);

    /** A sibling says that it has the key of a request whose siblings were asked; 0: all of them say they lack it. */
    default void onSibling(double now, int request, int sibling, PolicyActions out) {}

    /** A message of another instance. */
    void onPeer(double now, int peer, byte[] message, PolicyActions out);
}
