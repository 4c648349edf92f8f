package cacheproxy.nginx;

/** A configuration can't be read; the message begins with the file, and the line where it is known. */
public final class NginxSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Reports a fault at a position. */
    public NginxSyntaxException(Position at, String reason) {
        super(at.file() + ":" + at.line() + ": " + reason);
    }

    /** Reports a fault of a whole file. */
    public NginxSyntaxException(String file, String reason) {
        super(file + ": " + reason);
    }
}
