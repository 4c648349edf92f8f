package cacheproxy.daemon;

import cacheproxy.config.ProcessLimitsConfig;

/**
 * How a process's descriptors and memory are divided among clients and servers.
 *
 * @param clientSockets connections of clients at once
 * @param serverSockets connections to servers at once
 * @param valueBytes what clients' values may take together
 */
record ProcessBudget(int clientSockets, int serverSockets, long valueBytes) {
    /** File descriptors that are neither clients' nor servers'. */
    private static final int OWN_DESCRIPTORS = 64;

    private static final int MIN_CLIENT_SOCKETS = 16;
    /** A third of the sockets is for servers. */
    private static final int SERVER_SOCKETS_DIVISOR = 3;
    /** An eighth of the memory is for clients' values. */
    private static final int VALUE_MEMORY_DIVISOR = 8;

    /** Divides what the process may use. */
    static ProcessBudget of(ProcessLimitsConfig limits) {
        int serverSockets = limits.sockets() / SERVER_SOCKETS_DIVISOR;
        int clientSockets = Math.max(MIN_CLIENT_SOCKETS, limits.sockets() - serverSockets - OWN_DESCRIPTORS);
        long valueBytes = ((long) limits.memoryMb() << 20) / VALUE_MEMORY_DIVISOR;
        return new ProcessBudget(clientSockets, serverSockets, valueBytes);
    }
}
