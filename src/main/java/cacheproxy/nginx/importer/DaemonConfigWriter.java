package cacheproxy.nginx.importer;

import cacheproxy.nginx.Position;
import cacheproxy.placement.PlacementRegistry;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.VirtualHosts;
import java.util.List;

/** Writes the daemon's configuration file. */
final class DaemonConfigWriter {
    private static final double MAX_WARM_UP_MS = 3_600_000;
    /** The time after which rejected clients should retry. */
    private static final int RETRY_AFTER_MS = 1000;

    private static final String READ_CLASS = "read";
    private static final String WRITE_CLASS = "write";

    private final ImportOptions options;
    private final TomlText toml = new TomlText();

    private DaemonConfigWriter(ImportOptions options) {
        this.options = options;
    }

    /** Returns the text of the file. */
    static String write(ImportedConfig config, ImportOptions options) {
        DaemonConfigWriter writer = new DaemonConfigWriter(options);
        writer.write(config);
        return writer.toml.toString();
    }

    private void write(ImportedConfig config) {
        toml.comment("Made by import-nginx. Routes are called by the file and line that they come from.");
        toml.text("keys", config.keys() == KeyFormat.PATH ? "path" : "path-and-query");
        if (config.warmUpMs() > 0) {
            toml.table("[site]");
            toml.number("warm_up_ms", Math.min(MAX_WARM_UP_MS, config.warmUpMs()));
        }
        if (!config.limits().limits().isEmpty()) {
            toml.table("[limits]");
            config.limits().limits().forEach(toml::number);
        }
        writeClass(READ_CLASS, "safe", config.limits().deadlineMs());
        writeClass(WRITE_CLASS, options.writes(), config.limits().deadlineMs());
        int port = options.listenPort();
        for (String name : config.listeners()) {
            writeListener(name, port);
            port = port == 0 ? 0 : port + 1;
        }
        config.hosts().forEach(this::writeHost);
        config.pools().forEach(this::writePool);
        config.routes().forEach(this::writeRoute);
    }

    private void writeClass(String name, String effect, double deadlineMs) {
        toml.table("[[class]]");
        toml.text("name", name);
        toml.text("effect", effect);
        toml.number("aim_ms", Math.max(1, deadlineMs / 2));
        toml.number("deadline_ms", deadlineMs);
        if (effect.equals("keyed")) {
            toml.number("window_ms", options.windowMs());
        }
    }

    private void writeListener(String name, int port) {
        toml.table("[[listen]]");
        toml.text("name", name);
        toml.text("address", options.listenHost() + ":" + port);
        toml.flag("open", true);
        toml.text("class", READ_CLASS);
        toml.text("write_class", WRITE_CLASS);
    }

    private void writeHost(VirtualHosts.Host host) {
        toml.table("[[host]]");
        toml.text("name", host.name());
        toml.texts("listener", host.listeners().stream().sorted().toList());
        if (!host.serverNames().isEmpty()) {
            toml.texts("names", host.serverNames());
        }
        if (host.isDefault()) {
            toml.flag("default", true);
        } else if (!host.defaultOfListeners().isEmpty()) {
            toml.texts("default_of", host.defaultOfListeners().stream().sorted().toList());
        }
    }

    private void writePool(PoolSpec pool) {
        toml.table("[[pool]]");
        Position position = pool.directive().position();
        toml.comment(position.file() + ":" + position.line());
        toml.text("name", pool.name());
        toml.text("nodes", "plain");
        if (!pool.placement().equals(PlacementRegistry.CARP)) {
            toml.text("placement", pool.placement());
            toml.optionalText("place_by", pool.placeBy());
        }
        pool.servers().forEach(this::writeServer);
    }

    private void writeServer(ServerSpec server) {
        toml.table("[[pool.server]]");
        toml.text("name", server.name());
        toml.optionalText("ring", server.ringName());
        toml.optionalText("dial", server.dial());
        if (server.weight() != 1) {
            toml.number("weight", server.weight());
        }
        if (server.backup()) {
            toml.flag("backup", true);
        }
        if (server.down()) {
            toml.flag("down", true);
        }
        if (!server.backup()) {
            // The server has already been serving nginx's requests; a backup has not.
            toml.flag("warm", true);
        }
    }

    private void writeRoute(RouteSpec route) {
        toml.table("[[route]]");
        toml.comment(route.comment());
        toml.text("name", route.name());
        toml.number("order", route.position().order());
        toml.text("host", route.host());
        toml.optionalText("key", route.position().exact());
        toml.optionalText("prefix", route.position().prefix());
        writeConditions(route.conditions());
        PathRewrite rewrite = route.rewrite();
        toml.optionalText("strip", rewrite.stripped());
        toml.optionalText("add", rewrite.added());
        toml.optionalText("replace", rewrite.replacement());
        toml.optionalText("place_by", route.placeBy());
        writeOutcome(route);
    }

    private void writeConditions(Conditions conditions) {
        List<String> patterns = conditions.patterns();
        if (!patterns.isEmpty()) {
            toml.texts("regex", patterns);
        }
        if (conditions.write() != null) {
            toml.flag("write", conditions.write());
        }
        if (conditions.share() != null) {
            String hashed = TomlText.quoted(conditions.share().template().text());
            toml.value(
                    "share",
                    "{ by = " + hashed + ", from_hash = " + conditions.share().fromHash() + ", to_hash = "
                            + conditions.share().toHash() + " }");
        }
    }

    private void writeOutcome(RouteSpec route) {
        switch (route.outcome()) {
            case FORWARD -> toml.texts("pools", route.pools());
            case REJECT -> toml.number("refuse_ms", RETRY_AFTER_MS);
            case FAIL -> toml.flag("fail", true);
            default -> throw new IllegalStateException("unknown outcome " + route.outcome());
        }
    }
}
