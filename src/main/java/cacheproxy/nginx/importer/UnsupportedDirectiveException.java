package cacheproxy.nginx.importer;

/** Routes can't express what a directive requires; the message says what can't be expressed. */
final class UnsupportedDirectiveException extends Exception {
    private static final long serialVersionUID = 1L;

    UnsupportedDirectiveException(String reason) {
        super(reason);
    }
}
