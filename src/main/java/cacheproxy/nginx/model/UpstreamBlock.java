package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.List;
import java.util.Map;

/**
 * An {@code upstream} block.
 *
 * @param method how the upstream selects a server
 * @param methodDirective the directive that sets the method; null for round robin
 * @param servers the servers in the order of the file
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
     * A server as written in the configuration.
     *
     * @param address the address without a scheme; it has a port only if the file has one
     * @param weight 1 or more
     * @param otherParameters all other parameters by name; the value is empty if a parameter has none
     */
    public record Server(
            String address,
            int weight,
            boolean backup,
            boolean down,
            Map<String, String> otherParameters,
            Directive directive) {}

    /** Returns the text that the method hashes, as written; empty if it hashes no text. */
    public String key() {
        return methodDirective == null ? "" : methodDirective.arg(0);
    }
}
