package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The model of a configuration's {@code http} blocks: servers with their names and locations, upstreams with their
 * servers, and variables with the blocks that define them. The tree must have passed {@link DirectiveShapes#checked}.
 */
public final class HttpModel {
    /**
     * Something that nginx would reject or ignore.
     *
     * @param directive the directive
     * @param reason for the report: what nginx reports about it, and what the importer does instead
     */
    public record Fault(Directive directive, String reason) {}

    private final List<Directive> http;
    private final Map<String, UpstreamBlock> upstreams = new LinkedHashMap<>();
    private final List<ServerBlock> servers = new ArrayList<>();
    private final Map<String, Directive> variables = new HashMap<>();
    private final List<Fault> faults = new ArrayList<>();

    /**
     * Reads a configuration.
     *
     * @param tree the configuration's directives; if there is no {@code http} block, they are treated as the content of
     *     one
     */
    public HttpModel(List<Directive> tree) {
        List<Directive> blocks = tree.stream()
                .filter(directive -> directive.name().equals("http") && directive.block() != null)
                .toList();
        http = blocks.isEmpty()
                ? tree
                : blocks.stream().flatMap(block -> block.block().stream()).toList();
        UpstreamReader upstreamReader = new UpstreamReader(upstreams, faults);
        for (Directive directive : http) {
            switch (directive.name()) {
                case "upstream" -> upstreamReader.read(directive);
                case "map", "geo", "split_clients" -> readVariable(directive);
                default -> {}
            }
        }
        ServerReader serverReader = new ServerReader(faults);
        for (Directive directive : http) {
            if (directive.name().equals("server") && directive.block() != null) {
                servers.add(serverReader.read(directive));
            }
        }
    }

    /**
     * Returns the content of all {@code http} blocks, or the whole tree if there is none, as in a file with one site.
     */
    public List<Directive> http() {
        return http;
    }

    /** Returns the upstreams by name, in the order of the file. */
    public Map<String, UpstreamBlock> upstreams() {
        return Collections.unmodifiableMap(upstreams);
    }

    /** Returns the servers in the order of the file. */
    public List<ServerBlock> servers() {
        return Collections.unmodifiableList(servers);
    }

    /**
     * Returns the {@code map}, {@code split_clients} and {@code geo} blocks by the name of their variable, without $.
     */
    public Map<String, Directive> variables() {
        return Collections.unmodifiableMap(variables);
    }

    /** Returns what nginx would reject, in the order in which it was found. */
    public List<Fault> faults() {
        return Collections.unmodifiableList(faults);
    }

    private void readVariable(Directive directive) {
        boolean isGeoOfClientAddress =
                directive.name().equals("geo") && directive.args().size() == 1;
        String name = isGeoOfClientAddress ? directive.arg(0) : directive.arg(1);
        if (!name.startsWith("$") || directive.block() == null) {
            faults.add(rejected(directive, "it names no variable"));
            return;
        }
        variables.put(name.substring(1), directive);
    }

    /** Creates a fault that would keep nginx from starting. */
    static Fault rejected(Directive directive, String reason) {
        return new Fault(directive, "nginx refuses this: " + reason);
    }
}
