package cacheproxy.cli;

/** Exit codes of the commands. */
final class ExitCode {
    /** The command succeeded, and what it checked holds. */
    static final int OK = 0;
    /** The command ran, but what it checked does not hold, or the proxy that it called rejected the call. */
    static final int FAILED = 1;
    /** The command could not run: an unusable file, option or address, or no response from the proxy. */
    static final int UNUSABLE = 2;
    /** A fault test ran, but the machine was too slow for a verdict. */
    static final int NO_VERDICT = 3;

    private ExitCode() {}
}
