package cacheproxy.policy;

/** A tenant and the rate, over all instances, that is within its share. */
public record Tenant(String name, double trafficFraction, double quotaPerSecond) {}
