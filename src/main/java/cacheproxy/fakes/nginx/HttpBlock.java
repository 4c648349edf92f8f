package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The directives of the {@code http} blocks.
 *
 * @param servers the server blocks, in order
 * @param upstreams the upstream blocks by name; of blocks with the same name, the first
 */
record HttpBlock(List<Directive> directives, List<Directive> servers, Map<String, Directive> upstreams) {
    /** Reads a configuration; one without an {@code http} block is treated as the content of such a block. */
    static HttpBlock of(List<Directive> tree) {
        List<Directive> blocks = tree.stream()
                .filter(directive -> directive.name().equals("http") && directive.block() != null)
                .toList();
        List<Directive> directives = blocks.isEmpty()
                ? tree
                : blocks.stream().flatMap(block -> block.block().stream()).toList();
        List<Directive> servers = new ArrayList<>();
        Map<String, Directive> upstreams = new HashMap<>();
        for (Directive directive : directives) {
            if (directive.name().equals("upstream") && directive.block() != null) {
                upstreams.putIfAbsent(directive.arg(0), directive);
            } else if (directive.name().equals("server") && directive.block() != null) {
                servers.add(directive);
            }
        }
        return new HttpBlock(directives, servers, upstreams);
    }
}
