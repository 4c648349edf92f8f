package cacheproxy.cli;

import java.io.PrintWriter;

/** Thrown if a call to a proxy's control address fails: there was no valid response, or the proxy rejected the call. */
final class ControlCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int exitCode;

    private ControlCallException(String control, String reason, int exitCode) {
        super(control + ": " + reason);
        this.exitCode = exitCode;
    }

    /** Returns an exception for an invalid address, or for a call without a valid HTTP response in time. */
    static ControlCallException unreachable(String control, Exception cause) {
        ControlCallException exception = new ControlCallException(control, cause.getMessage(), ExitCode.UNUSABLE);
        exception.initCause(cause);
        return exception;
    }

    /** Returns an exception for a response with a status other than 200; {@code text} is the response's body. */
    static ControlCallException rejected(String control, String text) {
        return new ControlCallException(control, text, ExitCode.FAILED);
    }

    /** Prints the address and the reason; returns the exit code of the command. */
    int report(PrintWriter err) {
        err.println(getMessage());
        return exitCode;
    }
}
