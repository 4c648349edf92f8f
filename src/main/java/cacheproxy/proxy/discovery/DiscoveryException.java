package cacheproxy.proxy.discovery;

/**
 * Thrown if discovery has not provided a usable endpoint list. The message, which is written to the log, says what is
 * wrong and where.
 */
final class DiscoveryException extends RuntimeException {
    private static final long serialVersionUID = 1;

    DiscoveryException(String message) {
        super(message);
    }
}
