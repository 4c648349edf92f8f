package damsonworks.nginx;

/** A configuration that can't be read, with its place and the reason. */
public final class ConfException extends Exception {
    private static final long serialVersionUID = 1L;

    public ConfException(Position at, String why) {
        super(at.file() + ":" + at.line() + ": " + why);
    }

    public ConfException(String file, String why) {
        super(file + ": " + why);
    }
}
