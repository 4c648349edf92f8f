package cacheproxy.nginx.importer;

import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.VirtualHosts;
import java.util.Collection;
import java.util.List;

/**
 * The result of an import, before it is written as a file.
 *
 * @param listeners names of the listeners
 * @param routes the routes in the order of the file, without those that no request reaches
 * @param warmUpMs how long servers warm up, in milliseconds; 0: servers do not warm up
 */
record ImportedConfig(
        KeyFormat keys,
        Collection<String> listeners,
        List<VirtualHosts.Host> hosts,
        Collection<PoolSpec> pools,
        List<RouteSpec> routes,
        RequestLimits limits,
        double warmUpMs) {}
