package cacheproxy.policy;

/** One server of the list. {@code bornMs}: when it last started, 0 if long ago. */
public record Endpoint(int id, int zone, int kind, int cell, EndpointState state, float weight, double startedMs) {}
