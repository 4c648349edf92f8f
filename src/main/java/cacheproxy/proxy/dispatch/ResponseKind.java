package cacheproxy.proxy.dispatch;

/** How a request was concluded. */
enum ResponseKind {
    /** With a server's value or receipt. */
    SERVED("served"),
    /** With a long value that was streamed. */
    STREAMED("streamed"),
    /** With a long value that was cut off before its end. */
    CUT_OFF("cut"),
    /** No server has the key. */
    MISSED("missed"),
    /** Rejected; a retry is safe. */
    REJECTED("refused"),
    /** Failed; the request may or may not have been processed. */
    FAILED("failed");

    private final String label;

    ResponseKind(String label) {
        this.label = label;
    }

    /** The name in the event log. */
    String label() {
        return label;
    }
}
