package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.List;
import java.util.Map;

/**
 * An {@code upstream} block.
 *
 * @param method how it chooses
 * @param methodAt the directive that says so; null for round robin
 */
public record UpstreamBlock(String name, Directive directive, Method method, Directive methodAt, List<Server> servers) {
    /** Ways to choose a server. */
    public enum Method {
        ROUND_ROBIN,
        HASH,
        CONSISTENT,
        IP_HASH,
        LEAST_CONN,
        RANDOM,
        OTHER
    }

    /**
     * A server as it is written.
     *
     * @param address without scheme; port and all as in the file
     * @param weight 1 or more
     * @param others parameters with a value that are none of the others' fields
     */
    public record Server(
            String address,
            int weight,
            boolean backup,
            boolean down,
            Map<String, String> others,
            Directive directive) {}

    /** Its key as written; empty unless it hashes one. */
    public String key() {
        return methodAt == null ? "" : methodAt.arg(0);
    }
}
