package cacheproxy.nginx.importer;

import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.model.DirectiveShapes;
import cacheproxy.nginx.model.HttpModel;
import cacheproxy.nginx.model.ServerBlock;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteTable;
import cacheproxy.routes.VirtualHosts;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Translates a configuration into the daemon's file, and makes a report in which every directive has an entry. */
public final class Importer {
    /**
     * The result of an import.
     *
     * @param configText text of the daemon's file; null if nothing can be served
     * @param hostInKeys whether keys begin with the host
     * @param routeCount number of routes
     */
    public record Result(String configText, Report report, boolean hostInKeys, int routeCount) {}

    private final ImportOptions options;
    private final ConfParser.Conf conf;
    private final Report report = new Report();
    private final HttpModel model;
    private final VariableUsage usage;
    private final PoolTranslator pools;
    private final List<RouteSpec> routes = new ArrayList<>();

    private Importer(ConfParser.Conf conf, ImportOptions options) {
        this.options = options;
        List<HttpModel.Fault> malformed = new ArrayList<>();
        this.conf = new ConfParser.Conf(
                DirectiveShapes.checked(conf.directives(), malformed),
                conf.emptyIncludes(),
                conf.fileCount(),
                conf.byteCount());
        reportFaults(malformed);
        model = new HttpModel(this.conf.directives());
        usage = new VariableUsage(model);
        pools = new PoolTranslator(options, report);
    }

    /** Imports a configuration. */
    public static Result run(ConfParser.Conf conf, ImportOptions options) {
        return new Importer(conf, options).run();
    }

    private Result run() {
        reportFaults(model.faults());
        model.upstreams().values().forEach(pools::translate);
        ListenerTable listeners = new ListenerTable(model.servers(), report);
        boolean hostInKeys = needsHostInKeys();
        RouteTranslator routeTranslator =
                new RouteTranslator(model, new ExpressionResolver(model, report), pools, report, routes);
        List<VirtualHosts.Host> hosts =
                new HostTranslator(model, listeners, usage, routeTranslator, report).translate(hostInKeys);
        removeUnreachableRoutes();
        RequestLimits limits = TimeoutTranslator.translate(model.http(), report);
        CarpMigration.addNotes(pools.pools(), report);
        if (conf.emptyIncludes().isEmpty() && model.servers().isEmpty()) {
            report.note("there is no server block: there is nothing to route");
        }
        report.finish(conf);
        boolean servable = !pools.pools().isEmpty()
                && !routes.isEmpty()
                && !listeners.names().isEmpty();
        KeyFormat keys = dependsOnQuery() ? KeyFormat.PATH_AND_QUERY : KeyFormat.PATH;
        ImportedConfig imported =
                new ImportedConfig(keys, listeners.names(), hosts, pools.pools(), routes, limits, pools.slowStartMs());
        String configText = servable ? DaemonConfigWriter.write(imported, options) : null;
        return new Result(configText, report, hostInKeys, routes.size());
    }

    private void reportFaults(List<HttpModel.Fault> faults) {
        faults.forEach(fault -> report.notCarried(fault.directive(), fault.reason()));
    }

    /** Whether keys must contain the host: a socket has several servers, or routes or placements depend on the host. */
    private boolean needsHostInKeys() {
        Set<String> sockets = new HashSet<>();
        for (ServerBlock server : model.servers()) {
            Set<String> serverSockets = new HashSet<>();
            server.listens().forEach(listen -> serverSockets.add(listen.socket()));
            if (!serverSockets.stream().allMatch(sockets::add)) {
                return true;
            }
        }
        return model.servers().stream().anyMatch(server -> usage.blockDependsOnHost(server.directive()))
                || model.upstreams().values().stream().anyMatch(upstream -> usage.dependsOnHost(upstream.key()));
    }

    private boolean dependsOnQuery() {
        boolean placementDepends =
                pools.pools().stream().anyMatch(pool -> pool.placeBy() != null && usage.dependsOnQuery(pool.placeBy()));
        return placementDepends
                || routes.stream()
                        .map(route -> route.conditions().share())
                        .anyMatch(share -> share != null
                                && usage.dependsOnQuery(share.template().text()));
    }

    /** Removes routes that no request reaches, because the daemon rejects a file with such routes. */
    private void removeUnreachableRoutes() {
        List<Route> matchingRoutes = new ArrayList<>();
        for (RouteSpec route : routes) {
            matchingRoutes.add(route.matchingRoute(matchingRoutes.size()));
        }
        Set<String> unreachable = new HashSet<>();
        new RouteTable(matchingRoutes)
                .shadowedRoutes()
                .forEach(shadowed -> unreachable.add(shadowed.route().name()));
        routes.removeIf(route -> unreachable.contains(route.name()));
    }
}
