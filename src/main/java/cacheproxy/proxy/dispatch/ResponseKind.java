package cacheproxy.proxy.dispatch;

/** How a request was concluded. */
enum ResponseKind {
    /** With a server's value or receipt. */
    SERVED("served"),
    /** With a long value that was passed on as it came. */
    STREAMED("streamed"),
    /** With a long value that broke off. */
    CUT_OFF("cut"),
    /** No server has the key. */
    MISSED("missed"),
    /** Rejected; a retry is harmless. */
    REJECTED("refused"),
    /** Failed; nothing is promised. */
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
