package cacheproxy.config;

/**
 * {@code [limits]}: limits of the process.
 *
 * @param memoryMb memory of the process in MiB; an eighth of it can hold clients' values
 * @param sockets number of file descriptors that the process can use
 * @param idleCloseMs idle connections to servers are closed after this time
 * @param maxAttempts maximum number of attempts of one request
 * @param maxRetryAfterMs longest time after which a client is told to retry
 * @param hedging whether a slow request may be sent to a second server
 * @param unknownCapacity assumed capacity, in requests per second, of a warm server that has no {@code capacity}
 */
public record ProcessLimitsConfig(
        int memoryMb,
        int sockets,
        double connectTimeoutMs,
        double idleCloseMs,
        int maxAttempts,
        double maxRetryAfterMs,
        boolean hedging,
        double unknownCapacity) {
    private static final int MINUTE_MS = 60_000;
    private static final int MAX_MEMORY_MB = 1 << 20;
    private static final int MAX_SOCKETS = 1 << 24;

    /** Reads the section; if it is absent, the defaults apply. */
    static ProcessLimitsConfig read(TomlTableReader root) {
        TomlTableReader table = root.tableOrEmpty("limits");
        ProcessLimitsConfig limits = new ProcessLimitsConfig(
                table.integer("memory_mb", 512, 32, MAX_MEMORY_MB),
                table.integer("sockets", 4096, 256, MAX_SOCKETS),
                table.number("connect_timeout_ms", 250, 10, MINUTE_MS),
                table.number("idle_close_ms", 15_000, 1000, ConfigValues.HOUR_MS),
                table.integer("max_attempts", 3, 1, 8),
                table.number("max_retry_after_ms", 1000, 0, ConfigValues.HOUR_MS),
                table.flag("second_copies", true),
                table.number("unknown_capacity", 100, 1, 1e6));
        table.rejectUnknownKeys();
        return limits;
    }
}
