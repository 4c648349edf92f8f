package cacheproxy.proxy.process;

/** Thrown if a start is abandoned before the proxy listens for clients, because the process has been asked to end. */
final class StartAbandonedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StartAbandonedException() {
        super("the process was asked to end before it accepted connections");
    }
}
