package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.List;
import java.util.Map;

/**
 * An {@code upstream} block.
 *
 * @param method how it selects a server
 * @param methodDirective the directive that sets the method; null for round robin
 * @param servers in the order of the file
 */
public record UpstreamBlock(
        String name, Directive directive, Method method, Directive methodDirective, List<Server> servers) {
    /** How an upstream selects a server. */
    public enum Method {
        ROUND_ROBIN,
        /** {@code hash KEY}. */
        HASH,
        /** {@code hash KEY consistent}. */
        CONSISTENT_HASH,
        IP_HASH,
        LEAST_CONN,
        RANDOM,
        OTHER
    }

    /**
     * A server as it is written.
     *
     * @param address without scheme; the port as in the file
     * @param weight 1 or more
     * @param otherParameters parameters that are none of the other components, by name; empty values for those without
     */
    public record Server(
            String address,
            int weight,
            boolean backup,
            boolean down,
            Map<String, String> otherParameters,
            Directive directive) {}

    /** The text that its method hashes, as written; empty if it hashes none. */
    public String key() {
        return methodDirective == null ? "" : methodDirective.arg(0);
    }
}
