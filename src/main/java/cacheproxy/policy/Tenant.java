package cacheproxy.policy;

/**
 * A tenant.
 *
 * @param name its name in settings and requests
 * @param trafficFraction its fraction of the service, 0 to 1
 * @param quotaPerSecond requests a second, over all proxies, that are within its share
 */
public record Tenant(String name, double trafficFraction, double quotaPerSecond) {}
