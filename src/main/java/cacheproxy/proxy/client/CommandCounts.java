package cacheproxy.proxy.client;

/** How many commands a client has sent on one connection. */
final class CommandCounts {
    private long commands;
    private long invalid;

    /** Counts a command; invalid ones are responded to by an error line. */
    void commandReceived(boolean valid) {
        commands++;
        if (!valid) {
            invalid++;
        }
    }

    /** All commands. */
    long commands() {
        return commands;
    }

    /** Those that were responded to by an error line. */
    long invalid() {
        return invalid;
    }
}
