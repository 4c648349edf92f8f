package cacheproxy.policy;

/**
 * A client's request.
 *
 * @param id unique among all requests; a client's retry has its own id
 * @param serviceClass index of its class in {@link PolicySettings#classes}
 * @param tenant index of its tenant in {@link PolicySettings#tenants}; 0 if there are none
 * @param key the key that it reads or writes; 0 if it has none
 * @param deadlineMs when the client stops waiting, on the policy's clock
 * @param costHintMs estimated processing time at a server; NaN if there is no estimate
 * @param valueSizeHint size of the value in bytes; 0 if unknown
 * @param write whether it writes, which only the origin can serve in a cache-aside pool
 * @param clientRetry whether the client has marked it as a retry
 */
public record RoutingRequest(
        int id,
        int serviceClass,
        int tenant,
        long key,
        double deadlineMs,
        double costHintMs,
        float valueSizeHint,
        boolean write,
        boolean clientRetry) {}
