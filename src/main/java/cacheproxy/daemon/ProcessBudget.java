package cacheproxy.daemon;

import cacheproxy.config.ProcessLimitsConfig;

/**
 * How a process's descriptors and memory are divided among clients and servers.
 *
 * @param clientSockets maximum of concurrent client connections
 * @param serverSockets maximum of concurrent connections to servers
 * @param valueBytes maximum memory for the values that clients send, in total
 */
record ProcessBudget(int clientSockets, int serverSockets, long valueBytes) {
    /** File descriptors reserved for other purposes than client and server connections. */
    private static final int OWN_DESCRIPTORS = 64;

    private static final int MIN_CLIENT_SOCKETS = 16;
    /** A third of the sockets is reserved for servers. */
    private static final int SERVER_SOCKETS_DIVISOR = 3;
    /** An eighth of the memory is reserved for clients' values. */
    private static final int VALUE_MEMORY_DIVISOR = 8;

    /** Divides the limits of the process. */
    static ProcessBudget of(ProcessLimitsConfig limits) {
        int serverSockets = limits.sockets() / SERVER_SOCKETS_DIVISOR;
        int clientSockets = Math.max(MIN_CLIENT_SOCKETS, limits.sockets() - serverSockets - OWN_DESCRIPTORS);
        long valueBytes = ((long) limits.memoryMb() << 20) / VALUE_MEMORY_DIVISOR;
        return new ProcessBudget(clientSockets, serverSockets, valueBytes);
    }
}
