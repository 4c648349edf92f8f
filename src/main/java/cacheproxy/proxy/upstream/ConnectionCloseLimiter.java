package cacheproxy.proxy.upstream;

/**
 * A token bucket that limits how many connections are closed only to abandon an attempt: the close relieves the server
 * of the attempt, but costs a new connection.
 */
final class ConnectionCloseLimiter {
    private static final double CLOSES_PER_SECOND = 10;
    private static final double MAX_TOKENS = 10;
    private static final double MS_PER_SECOND = 1000;

    private double tokens = MAX_TOKENS;
    private double refilledAtMs;

    /**
     * Returns whether a connection may be closed now, and counts the close if it may.
     *
     * @param hedgingAllowed false if the attempt must not run in parallel with another one: the close is then always
     *     allowed, and the number of tokens can become negative
     */
    boolean mayClose(double nowMs, boolean hedgingAllowed) {
        refill(nowMs);
        if (tokens < 1 && hedgingAllowed) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns whether a connection may be closed that cuts off attempts, and counts them if it may. Each of them costs
     * as much as a close, as it is repeated elsewhere: where connections carry many, their servers have more to do than
     * they can, and repeats would add to it.
     *
     * @param attempts how many attempts are on the connection, including the one to abandon
     */
    boolean mayCutOff(double nowMs, int attempts) {
        refill(nowMs);
        if (tokens < attempts) {
            return false;
        }
        tokens -= attempts;
        return true;
    }

    private void refill(double nowMs) {
        tokens = Math.min(MAX_TOKENS, tokens + (nowMs - refilledAtMs) / MS_PER_SECOND * CLOSES_PER_SECOND);
        refilledAtMs = nowMs;
    }
}
