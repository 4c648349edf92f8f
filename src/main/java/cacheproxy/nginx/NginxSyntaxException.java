package cacheproxy.nginx;

/** A configuration can't be read. The message begins with the file and, if it is known, the line. */
public final class NginxSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Reports a fault at a position. */
    public NginxSyntaxException(Position position, String reason) {
        super(position.file() + ":" + position.line() + ": " + reason);
    }

    /** Reports a fault of a whole file. */
    public NginxSyntaxException(String file, String reason) {
        super(file + ": " + reason);
    }
}
