package cacheproxy.proxy.dispatch;

/** Optional components that can be linked to a pool before it starts. Used on the event loop only. */
final class PoolExtensions {
    private SiblingQueries siblings = SiblingQueries.NONE;
    private HealthCheckDelegate healthChecks = HealthCheckDelegate.NONE;

    /** The link to sibling proxies. */
    SiblingQueries siblings() {
        return siblings;
    }

    /** The delegate that can perform the pool's health checks. */
    HealthCheckDelegate healthChecks() {
        return healthChecks;
    }

    /** Links the pool to sibling proxies. */
    void setSiblings(SiblingQueries queries) {
        siblings = queries;
    }

    /** Lets a delegate perform the pool's health checks. */
    void setHealthChecks(HealthCheckDelegate delegate) {
        healthChecks = delegate;
    }
}
