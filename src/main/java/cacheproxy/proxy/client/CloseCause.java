package cacheproxy.proxy.client;

/** Why the proxy closes a client connection. */
enum CloseCause {
    /** The client has stopped in the middle of a request, or has stopped reading a response. */
    STALLED("stalled"),
    /** The connection is closed to make room for another one. */
    EVICTED("makes_room"),
    /** The rest of a partly sent response will not arrive. */
    RESPONSE_ABORTED("answer_cut"),
    /** The proxy had shut down its output, and the client did not close its side in time. */
    LINGERED("lingered"),
    /** The proxy shuts down its output; the client's side is still open. */
    FINISHED("finished");

    private final String label;

    CloseCause(String label) {
        this.label = label;
    }

    /** The cause as it is written to the event log. */
    String label() {
        return label;
    }
}
