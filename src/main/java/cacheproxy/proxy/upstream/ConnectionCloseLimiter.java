package cacheproxy.proxy.upstream;

/**
 * A token bucket for the connections that are closed only to abandon an attempt: closing frees the server from it, but
 * costs a new connection.
 */
final class ConnectionCloseLimiter {
    private static final double CLOSES_PER_SECOND = 10;
    private static final double MAX_TOKENS = 10;
    private static final double MS_PER_SECOND = 1000;

    private double tokens = MAX_TOKENS;
    private double refilledAtMs;

    /**
     * Whether a connection may be closed now, which is counted then.
     *
     * @param hedgingAllowed false if the attempt must not go on beside another one: the close is always allowed, and
     *     may leave a debt of tokens
     */
    boolean mayClose(double nowMs, boolean hedgingAllowed) {
        tokens = Math.min(MAX_TOKENS, tokens + (nowMs - refilledAtMs) / MS_PER_SECOND * CLOSES_PER_SECOND);
        refilledAtMs = nowMs;
        if (tokens < 1 && hedgingAllowed) {
            return false;
        }
        tokens--;
        return true;
    }
}
