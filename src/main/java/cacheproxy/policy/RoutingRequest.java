package cacheproxy.policy;

/**
 * A client's request.
 *
 * @param id differs from those of all other requests, also of the client's retries
 * @param serviceClass index of its class in {@link PolicySettings#classes}
 * @param tenant index of its tenant in {@link PolicySettings#tenants}; 0 where there are none
 * @param key what it reads or writes; 0: it has no key
 * @param deadlineMs when the client stops waiting, on the policy's clock
 * @param costHintMs estimated processing time at a server; NaN: none
 * @param valueSizeHint size of the value in bytes; 0: not known
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
