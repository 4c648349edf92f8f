package cacheproxy.proxy.discovery;

/** Discovery gave no usable endpoint list. The message, which goes to the log, says what was wrong and where. */
final class DiscoveryException extends RuntimeException {
    private static final long serialVersionUID = 1;

    DiscoveryException(String message) {
        super(message);
    }
}
