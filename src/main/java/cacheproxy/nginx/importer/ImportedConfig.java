package cacheproxy.nginx.importer;

import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.VirtualHosts;
import java.util.Collection;
import java.util.List;

/**
 * What an import has made, to be written.
 *
 * @param listeners names of the listeners
 * @param routes in the order of the file, without those that no request reaches
 * @param warmUpMs how long servers warm up; 0: not at all
 */
record ImportedConfig(
        KeyFormat keys,
        Collection<String> listeners,
        List<VirtualHosts.Host> hosts,
        Collection<PoolSpec> pools,
        List<RouteSpec> routes,
        RequestLimits limits,
        double warmUpMs) {}
