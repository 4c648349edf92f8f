package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.UpstreamBlock;
import cacheproxy.nginx.model.UpstreamBlock.Method;
import cacheproxy.placement.PlacementRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Translates upstreams to pools, and makes pools for addresses to which requests are passed without an upstream. */
final class PoolTranslator {
    private static final String KEY_TEMPLATE = "${key}";

    private final Report report;
    private final ServerAddresses addresses;
    private final UpstreamServers servers;
    private final Map<String, PoolSpec> pools = new LinkedHashMap<>();
    /** Pools by the authority in {@code proxy_pass}; the value is null if the pool can't be used. */
    private final Map<String, PoolSpec> poolByAuthority = new HashMap<>();

    PoolTranslator(ImportOptions options, Report report) {
        this.report = report;
        addresses = new ServerAddresses(options.dial());
        servers = new UpstreamServers(addresses, report);
    }

    /** Returns the pools made so far, in order. */
    Collection<PoolSpec> pools() {
        return Collections.unmodifiableCollection(pools.values());
    }

    /** Returns the longest {@code slow_start} of all servers, in milliseconds; 0 if there is none. */
    double slowStartMs() {
        return servers.slowStartMs();
    }

    /** Makes the pool of an upstream, unless its name is not valid or none of its servers can be used. */
    void translate(UpstreamBlock upstream) {
        report.carried(upstream.directive());
        String hashTemplate = hashTemplate(upstream);
        reportMethod(upstream, hashTemplate);
        String placement = placement(upstream.method(), hashTemplate);
        boolean keepsPlacement = !placement.equals(PlacementRegistry.CARP);
        List<ServerSpec> specs = servers.translate(upstream, keepsPlacement);
        String name = upstream.name();
        boolean usable = specs.stream().anyMatch(ServerSpec::isActive);
        if (!usable || !Names.isValid(name)) {
            report.notCarried(
                    upstream.directive(),
                    Names.isValid(name)
                            ? "none of its servers can be used; requests to it fail"
                            : "its name is not a valid pool name; requests to it fail");
            poolByAuthority.put(name, null);
            return;
        }
        String placeBy = KEY_TEMPLATE.equals(hashTemplate) ? null : hashTemplate;
        PoolSpec pool = new PoolSpec(name, placement, placeBy, specs, upstream.directive());
        pools.put(name, pool);
        poolByAuthority.put(name, pool);
    }

    private static boolean isHash(Method method) {
        return method == Method.HASH || method == Method.CONSISTENT_HASH;
    }

    private static String placement(Method method, String hashTemplate) {
        if (hashTemplate == null) {
            return PlacementRegistry.CARP;
        }
        return method == Method.HASH ? PlacementRegistry.NGINX_HASH : PlacementRegistry.NGINX_CONSISTENT;
    }

    /** Returns the template of what an upstream hashes; null if it hashes nothing that can be known from keys. */
    private static String hashTemplate(UpstreamBlock upstream) {
        if (!isHash(upstream.method()) || upstream.key().isEmpty()) {
            return null;
        }
        List<Expression.Part> parts = new ArrayList<>();
        for (Expression.Part part : Expression.of(upstream.key()).parts()) {
            // $proxy_host, the host to which requests are passed, is the upstream's name.
            parts.add(part.isVariable("proxy_host") ? new Expression.Part(false, upstream.name()) : part);
        }
        return PlacementText.of(Expression.joined(parts));
    }

    private void reportMethod(UpstreamBlock upstream, String hashTemplate) {
        Directive methodDirective = upstream.methodDirective();
        switch (upstream.method()) {
            case HASH, CONSISTENT_HASH -> {
                if (hashTemplate == null) {
                    report.notCarried(
                            methodDirective,
                            "keys do not contain " + upstream.key() + ": servers are chosen by CARP over the key");
                } else {
                    report.carried(methodDirective);
                }
            }
            case ROUND_ROBIN ->
                report.changed(
                        upstream.directive(),
                        "each key gets one server by CARP, instead of the next in turn; weights are kept");
            case IP_HASH ->
                report.changed(
                        methodDirective, "each key gets one server by CARP over weights, instead of each client");
            default ->
                report.changed(
                        methodDirective,
                        "each key gets one server by CARP over weights, instead of the one that is chosen at the "
                                + "moment");
        }
    }

    /**
     * Returns the pool that a {@code proxy_pass} names; creates it if the authority is an address.
     *
     * @return null if there is none, which is reported
     */
    PoolSpec poolFor(String authority, Directive directive) {
        if (poolByAuthority.containsKey(authority)) {
            PoolSpec existing = poolByAuthority.get(authority);
            if (existing == null) {
                report.notCarried(
                        directive, "upstream " + authority + " could not be carried over; these requests fail");
            }
            return existing;
        }
        PoolSpec pool = poolOfAddress(authority, directive);
        if (pool != null) {
            pools.put(authority, pool);
        }
        poolByAuthority.put(authority, pool);
        return pool;
    }

    private PoolSpec poolOfAddress(String authority, Directive directive) {
        String dial = addresses.dialAddress(authority);
        if (dial == null || !Names.isValid(authority)) {
            report.notCarried(
                    directive,
                    authority.startsWith("unix:")
                            ? "sockets of Unix are not dialled; these requests fail"
                            : "there is no upstream '" + authority
                                    + "', and names are not looked up; these requests fail. Give it "
                                    + "an address by --dial " + authority + "=ADDRESS:PORT");
            return null;
        }
        ServerSpec server = new ServerSpec(addresses.name(authority, dial), null, dial, 1, false, false);
        return new PoolSpec(authority, PlacementRegistry.CARP, null, List.of(server), directive);
    }
}
