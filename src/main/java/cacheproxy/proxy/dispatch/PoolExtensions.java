package cacheproxy.proxy.dispatch;

/** What a pool may be linked to before it starts. On the event loop only. */
final class PoolExtensions {
    private SiblingQueries siblings = SiblingQueries.NONE;
    private HealthCheckDelegate healthChecks = HealthCheckDelegate.NONE;

    /** The link to sibling proxies. */
    SiblingQueries siblings() {
        return siblings;
    }

    /** Whoever may make the pool's health checks. */
    HealthCheckDelegate healthChecks() {
        return healthChecks;
    }

    /** Links the pool to sibling proxies. */
    void setSiblings(SiblingQueries queries) {
        siblings = queries;
    }

    /** Lets others make the pool's health checks. */
    void setHealthChecks(HealthCheckDelegate delegate) {
        healthChecks = delegate;
    }
}
