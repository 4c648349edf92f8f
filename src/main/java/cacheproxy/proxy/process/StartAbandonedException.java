package cacheproxy.proxy.process;

/** A start was given up before the proxy listened for clients, as the process has been told to end. */
final class StartAbandonedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StartAbandonedException() {
        super("the process was told to end before it accepted connections");
    }
}
