package cacheproxy.nginx;

/** A configuration that can't be read, with its place and the reason. */
public final class NginxSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    public NginxSyntaxException(Position at, String why) {
        super(at.file() + ":" + at.line() + ": " + why);
    }

    public NginxSyntaxException(String file, String why) {
        super(file + ": " + why);
    }
}
