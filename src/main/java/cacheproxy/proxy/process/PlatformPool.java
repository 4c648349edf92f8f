package cacheproxy.proxy.process;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.proxy.dispatch.PoolOptions;
import cacheproxy.proxy.upstream.ConnectionLimits;

/**
 * The platform's one pool. A server accepts about forty connections from all proxies of the tier together. The proxies
 * share a smaller number equally.
 */
final class PlatformPool {
    private static final int MAX_CACHE_CONNECTIONS = 4;
    private static final int MIN_ORIGIN_CONNECTIONS = 4;
    private static final int MAX_ORIGIN_CONNECTIONS = 48;
    /** Connections of all proxies together to one cache server. */
    private static final int TIER_CACHE_CONNECTIONS = 28;
    /** Connections of all proxies together to the origin. */
    private static final int TIER_ORIGIN_CONNECTIONS = 240;

    private PlatformPool() {}

    /** The options of the pool for this configuration. */
    static PoolOptions options(PlatformConfig config) {
        int proxies = Math.max(1, config.settings().instanceCount());
        int cacheShare = TIER_CACHE_CONNECTIONS / proxies;
        int originShare = TIER_ORIGIN_CONNECTIONS / proxies;
        ConnectionLimits connections = new ConnectionLimits(
                config.settings().connectTimeoutMs(),
                config.serverIdleTimeoutMs(),
                Math.max(1, Math.min(MAX_CACHE_CONNECTIONS, cacheShare)),
                Math.max(MIN_ORIGIN_CONNECTIONS, Math.min(MAX_ORIGIN_CONNECTIONS, originShare)),
                Math.max(1, cacheShare),
                config.streamsPerConnection());
        return new PoolOptions(
                config.settings(), config.seed(), connections, false, CarpPlacement::new, AdmissionControl.UNLIMITED);
    }
}
