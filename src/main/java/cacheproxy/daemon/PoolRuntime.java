package cacheproxy.daemon;

import cacheproxy.config.Addresses;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DiscoveryConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.config.ServerConfig;
import cacheproxy.config.SiblingConfig;
import cacheproxy.config.SiblingsConfig;
import cacheproxy.limits.PoolAdmissionControl;
import cacheproxy.limits.PoolLimiter;
import cacheproxy.limits.RetryBudget;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.placement.BackupPlacement;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.DiscoverySource;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.discovery.ListedServer;
import cacheproxy.proxy.dispatch.Dispatcher;
import cacheproxy.proxy.dispatch.LearnedStateProvider;
import cacheproxy.proxy.dispatch.PoolOptions;
import cacheproxy.proxy.upstream.ConnectionLimits;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.routes.KeyHash;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * A running pool: its policy, the dispatcher that carries out the policy's decisions, its server list and its limits.
 * It continues under later configurations that it {@linkplain #fits fits}. On the event loop only.
 */
public final class PoolRuntime {
    final String name;
    /** Carries out the policy's decisions. */
    public final Dispatcher dispatcher;

    private final PolicySettings settings;
    private final ServerStartTimes startTimes;
    private final PoolAdmissionControl admission;
    private final PoolFleetLink fleet;
    private final DiscoveryClient discovery;
    private final Set<Integer> backupServers = new HashSet<>();
    private DaemonConfig file;
    private PoolConfig config;
    private PoolLimiter limiter;
    private KeyHash keyHash;

    /**
     * Starts a pool.
     *
     * @param seed seed of the pool's random number generator
     * @param learnedState the state of an earlier pool or process; null if there is none
     */
    PoolRuntime(
            PoolContext context, DaemonConfig file, PoolConfig config, long seed, LearnedStateProvider learnedState) {
        name = config.name();
        this.file = file;
        this.config = config;
        startTimes = context.startTimes();
        settings = PoolSettings.of(file, config);
        keyHash = PoolSettings.keyHash(config);
        fleet = new PoolFleetLink(name, this::dispatcher, context.subsystems());
        admission = new PoolAdmissionControl(context.slowStartBudget(), retryBudget(config), fleet::mayProbe);
        limiter = new PoolLimiter(config.maxPending(), config.maxRequestsPerSecond());
        dispatcher = newDispatcher(context.core(), seed);
        dispatcher.restoreFrom(learnedState);
        SiblingSocket siblings = context.subsystems().get(SiblingSocket.class);
        if (siblings != null) {
            PoolSiblings poolSiblings = siblings.siblingsOf(config);
            dispatcher.useSiblings(poolSiblings, poolSiblings);
        }
        dispatcher.delegateHealthChecks(fleet);
        discovery = config.discovery() == null ? null : newDiscoveryClient(context.core());
        if (discovery == null) {
            dispatcher.start(EndpointListSource.NONE);
            applyServerList();
        } else {
            dispatcher.start(discovery);
            discovery.start();
        }
    }

    private Dispatcher newDispatcher(EventLoopContext core, long seed) {
        return new Dispatcher(
                core,
                new PoolOptions(
                        settings,
                        seed,
                        new ConnectionLimits(
                                settings.connectTimeoutMs(),
                                file.limits().idleCloseMs(),
                                config.connections(),
                                config.originConnections(),
                                config.connections(),
                                config.streams()),
                        config.plainServers(),
                        BackupPlacement.withBackups(
                                members -> PoolSettings.placement(config).create(members), backupServers::contains),
                        admission));
    }

    private DiscoveryClient newDiscoveryClient(EventLoopContext core) {
        DiscoveryConfig source = config.discovery();
        return new DiscoveryClient(
                core,
                new DiscoverySource(source.address(), null, true, source.zones(), source.kinds()),
                dispatcher,
                fleet);
    }

    private Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the client that follows the endpoint list; null if the servers are listed in the configuration file. */
    public DiscoveryClient discovery() {
        return discovery;
    }

    private static RetryBudget retryBudget(PoolConfig config) {
        return new RetryBudget(config.retryRatio(), config.guaranteedRetries());
    }

    /** Returns whether this pool can continue under another configuration; otherwise a new pool replaces it. */
    boolean fits(DaemonConfig other, PoolConfig next) {
        return settings.equals(PoolSettings.of(other, next))
                && config.connections() == next.connections()
                && config.originConnections() == next.originConnections()
                && config.streams() == next.streams()
                && config.plainServers() == next.plainServers()
                && config.placement().equals(next.placement())
                && Objects.equals(config.discovery(), next.discovery())
                && SiblingsConfig.of(file).equals(SiblingsConfig.of(other))
                && config.siblings().equals(next.siblings())
                && file.limits().idleCloseMs() == other.limits().idleCloseMs();
    }

    /** Adopts the servers and limits of a configuration that this pool fits. */
    void apply(DaemonConfig next) {
        PoolConfig pool = next.pools().get(name);
        boolean sameLimits = pool.maxPending() == config.maxPending()
                && pool.maxRequestsPerSecond() == config.maxRequestsPerSecond();
        boolean sameRetryBudget =
                pool.retryRatio() == config.retryRatio() && pool.guaranteedRetries() == config.guaranteedRetries();
        file = next;
        config = pool;
        keyHash = PoolSettings.keyHash(pool);
        if (!sameLimits) {
            limiter = new PoolLimiter(config.maxPending(), config.maxRequestsPerSecond());
        }
        if (!sameRetryBudget) {
            admission.setRetryBudget(retryBudget(config));
        }
        if (config.discovery() == null) {
            applyServerList();
        }
    }

    /** Passes the configured servers to the policy. */
    void applyServerList() {
        backupServers.clear();
        config.servers().stream().filter(ServerConfig::backup).forEach(server -> backupServers.add(server.id()));
        dispatcher.endpointListReceived(EndpointListKind.FULL, listedServers(server -> true));
    }

    /**
     * Restricts pending requests to the servers whose ids the predicate accepts; has no effect if the pool uses
     * discovery.
     */
    void restrictTo(IntPredicate wanted) {
        if (config.discovery() == null) {
            dispatcher.endpointListReceived(EndpointListKind.FULL, listedServers(wanted));
        }
    }

    /** Returns whether the configuration lists this server in the pool, as a cache server or as the origin. */
    boolean hasServer(int id) {
        return PoolSettings.allServers(config).stream().anyMatch(server -> server.id() == id);
    }

    private List<ListedServer> listedServers(IntPredicate wanted) {
        List<ListedServer> listed = new ArrayList<>();
        for (ServerConfig server : PoolSettings.allServers(config)) {
            if (!server.down() && wanted.test(server.id())) {
                Endpoint member = PoolSettings.endpointOf(file, config, server, startTimes.startMs(server.id()));
                listed.add(new ListedServer(member, server.address()));
            }
        }
        for (String server : config.siblings()) {
            SiblingConfig sibling = SiblingsConfig.of(file).sibling(server);
            listed.add(new ListedServer(PoolSettings.siblingEndpoint(config, sibling), sibling.fetchAddress()));
        }
        return listed;
    }

    /** Admits a request and returns 0, or returns the milliseconds after which to retry. */
    double admit(double nowMs) {
        return limiter.admit(nowMs, dispatcher.pendingRequests());
    }

    /** Returns the hash by which this pool's placement chooses the servers of a request. */
    long keyHash(RouteInput input, Route route, String poolKey) {
        return keyHash.of(input, route, poolKey);
    }

    /** Returns the group of pools that deduplicate keyed requests together; null if the pool belongs to none. */
    String dedupGroup() {
        return config.dedupGroup();
    }

    /** Returns the learned state of the policy, with at most {@code maxKeys} hot keys. */
    public PoolState learned(int maxKeys) {
        LearnedState state = dispatcher.learnedState(maxKeys);
        Map<Integer, String> addresses = new HashMap<>();
        for (LearnedServer server : state.servers()) {
            SocketAddress address = dispatcher.address(server.id());
            if (address != null) {
                addresses.put(server.id(), Addresses.text(address));
            }
        }
        return new PoolState(PoolSettings.keyScheme(file, config), state, addresses);
    }

    /** Returns the current configuration of this pool. */
    PoolConfig config() {
        return config;
    }
}
