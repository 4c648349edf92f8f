package cacheproxy.policy;

/**
 * A tenant.
 *
 * @param name its name in settings and requests
 * @param trafficFraction its fraction of the traffic, 0 to 1
 * @param quotaPerSecond requests a second, over all proxies, that are within its quota
 */
public record Tenant(String name, double trafficFraction, double quotaPerSecond) {}
