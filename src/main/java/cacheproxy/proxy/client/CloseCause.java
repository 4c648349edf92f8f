package cacheproxy.proxy.client;

/** Why the proxy closes a client connection. */
enum CloseCause {
    /** The client has stopped to write a request, or to take a response. */
    STALLED("stalled"),
    /** Another connection needs the place. */
    EVICTED("makes_room"),
    /** The rest of a response that has begun will not come. */
    RESPONSE_ABORTED("answer_cut"),
    /** The proxy's side was ended before, and the client has not ended its own in time. */
    LINGERED("lingered"),
    /** The proxy's side ends; the client's is still open. */
    FINISHED("finished");

    private final String label;

    CloseCause(String label) {
        this.label = label;
    }

    /** The cause as the event log has it. */
    String label() {
        return label;
    }
}
