package cacheproxy.cli;

import java.io.PrintWriter;

/** A call of a proxy's control address that failed: no valid response came, or the proxy rejected it. */
final class ControlCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int exitCode;

    private ControlCallException(String control, String reason, int exitCode) {
        super(control + ": " + reason);
        this.exitCode = exitCode;
    }

    /** The address is invalid, or no valid HTTP response came from it in time. */
    static ControlCallException unreachable(String control, Exception cause) {
        ControlCallException exception = new ControlCallException(control, cause.getMessage(), ExitCode.UNUSABLE);
        exception.initCause(cause);
        return exception;
    }

    /** The proxy responded with a status other than 200; {@code text} is the response's body. */
    static ControlCallException rejected(String control, String text) {
        return new ControlCallException(control, text, ExitCode.FAILED);
    }

    /** Prints the address and the reason; returns the exit code of the command. */
    int report(PrintWriter err) {
        err.println(getMessage());
        return exitCode;
    }
}
