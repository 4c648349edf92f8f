package cacheproxy.snapshot;

/**
 * Thrown if the content of a section is invalid although its checksum is valid; the message names the value, for
 * operators.
 */
final class InvalidSectionException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSectionException(String message) {
        super(message);
    }
}
