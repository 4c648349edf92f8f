package cacheproxy.simulation;

/**
 * A client's request as it is sent to a proxy.
 *
 * @param key what it reads or writes
 * @param write whether it writes, which only the origin can serve, and which must not take effect twice
 * @param retries how often the client has sent it before
 */
record SimulatedRequest(long key, boolean write, int retries) {
    /** Returns the request as the client sends it next. */
    SimulatedRequest retry() {
        return new SimulatedRequest(key, write, retries + 1);
    }
}
