package cacheproxy.policy;

/** A request taken from a client; key 0: none; cost hint NaN: none; due: when the client gives up. */
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
