package cacheproxy.snapshot;

/**
 * The content of a section with a valid checksum cannot be a snapshot's; the message says which value, for operators.
 */
final class InvalidSectionException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSectionException(String message) {
        super(message);
    }
}
