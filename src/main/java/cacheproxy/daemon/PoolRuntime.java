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
import cacheproxy.limits.SlowStartBudget;
import cacheproxy.placement.BackupPlacement;
import cacheproxy.policy.PolicyApi.ListKind;
import cacheproxy.policy.PolicyApi.Member;
import cacheproxy.policy.PolicyApi.Outcome;
import cacheproxy.policy.PolicyApi.Settings;
import cacheproxy.proxy.DiscoveryClient;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.EventLoopContext;
import cacheproxy.routes.KeyHash;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.StateSnapshot;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.Supplier;

/** A pool at work: its module with what carries its orders out, and its bounds. On the event loop only. */
public final class PoolRuntime {
    final String name;
    public final Dispatcher dispatcher;
    private final Settings settings;
    private final ServerStartTimes startTimes;
    private final PoolAdmissionControl admission;
    private final DiscoveryClient discovery;
    private final Set<Integer> backupServers = new HashSet<>();
    private DaemonConfig file;
    private PoolConfig config;
    private PoolLimiter limiter;
    private KeyHash keyHash;

    PoolRuntime(
            EventLoopContext core,
            DaemonConfig file,
            PoolConfig config,
            long seed,
            SlowStartBudget slowStartBudget,
            ServerStartTimes startTimes,
            Dispatcher.Recollections recollections,
            Subsystems subsystems) {
        Supplier<FleetCoordination> fleet = () -> subsystems.get(FleetCoordination.class);
        SiblingSocket siblings = subsystems.get(SiblingSocket.class);
        name = config.name();
        this.file = file;
        this.config = config;
        this.startTimes = startTimes;
        settings = PoolSettings.of(file, config);
        keyHash = PoolSettings.keyHash(config);
        admission =
                new PoolAdmissionControl(slowStartBudget, retryBudget(config), server -> mayProbe(fleet.get(), server));
        limiter = new PoolLimiter(config.maxPending(), config.maxRequestsPerSecond());
        dispatcher = new Dispatcher(
                core,
                new Dispatcher.Pool(
                        settings,
                        seed,
                        file.limits().idleCloseMs(),
                        config.connections(),
                        config.originConnections(),
                        config.connections(),
                        config.streams(),
                        config.plainServers(),
                        BackupPlacement.withBackups(
                                members -> PoolSettings.placement(this.config).create(members),
                                backupServers::contains),
                        admission));
        dispatcher.recall(recollections);
        if (siblings != null) {
            PoolSiblings own = siblings.of(config);
            dispatcher.siblings(own, own);
        }
        dispatcher.probes(new Probes(fleet));
        if (config.discovery() == null) {
            discovery = null;
            dispatcher.start(Dispatcher.ListSource.NONE);
            applyServerList();
        } else {
            DiscoveryConfig source = config.discovery();
            discovery = new DiscoveryClient(
                    core,
                    new DiscoveryClient.Source(source.address(), null, true, source.zones(), source.kinds()),
                    dispatcher,
                    new Pace(fleet));
            dispatcher.start(discovery);
            discovery.start();
        }
    }

    private boolean mayProbe(FleetCoordination fleet, int server) {
        return fleet == null || fleet.mayProbe(dispatcher, server);
    }

    private final class Probes implements Dispatcher.Probes {
        private final Supplier<FleetCoordination> fleet;

        Probes(Supplier<FleetCoordination> fleet) {
            this.fleet = fleet;
        }

        @Override
        public boolean take(int server) {
            return fleet.get() != null && fleet.get().takeHealthCheck(dispatcher, server);
        }

        @Override
        public void ended(int server, Outcome outcome) {
            if (fleet.get() != null) {
                fleet.get().attemptEnded(dispatcher, server, outcome);
            }
        }
    }

    /** Where the fleet has no say this proxy watches by itself. */
    private final class Pace implements DiscoveryClient.Pace {
        private final Supplier<FleetCoordination> fleet;

        Pace(Supplier<FleetCoordination> fleet) {
            this.fleet = fleet;
        }

        @Override
        public boolean closely() {
            return fleet.get() == null || fleet.get().watchesClosely(name);
        }

        @Override
        public void have(long version) {
            if (fleet.get() != null) {
                fleet.get().listReceived(name, version);
            }
        }
    }

    /** Who follows its list; null: it is in the file. */
    public DiscoveryClient discovery() {
        return discovery;
    }

    private static RetryBudget retryBudget(PoolConfig config) {
        return new RetryBudget(config.retryRatio(), config.guaranteedRetries());
    }

    /** Whether this pool can go on under another file; else a new one must take its place. */
    boolean fits(DaemonConfig other, PoolConfig next) {
        return settings.equals(PoolSettings.of(other, next))
                && config.connections() == next.connections()
                && config.originConnections() == next.originConnections()
                && config.streams() == next.streams()
                && config.plainServers() == next.plainServers()
                && config.placement().equals(next.placement())
                && java.util.Objects.equals(config.discovery(), next.discovery())
                && SiblingsConfig.of(file).equals(SiblingsConfig.of(other))
                && config.siblings().equals(next.siblings())
                && file.limits().idleCloseMs() == other.limits().idleCloseMs();
    }

    /** Takes over what a new file says of servers and bounds. */
    void apply(DaemonConfig next) {
        PoolConfig pool = next.pools().get(name);
        boolean sameGate = pool.maxPending() == config.maxPending()
                && pool.maxRequestsPerSecond() == config.maxRequestsPerSecond();
        boolean sameRetries =
                pool.retryRatio() == config.retryRatio() && pool.guaranteedRetries() == config.guaranteedRetries();
        file = next;
        config = pool;
        keyHash = PoolSettings.keyHash(pool);
        if (!sameGate) {
            limiter = new PoolLimiter(config.maxPending(), config.maxRequestsPerSecond());
        }
        if (!sameRetries) {
            admission.setRetryBudget(retryBudget(config));
        }
        if (config.discovery() == null) {
            applyServerList();
        }
    }

    /** Hands the module the file's servers. */
    void applyServerList() {
        backupServers.clear();
        config.servers().stream().filter(ServerConfig::backup).forEach(server -> backupServers.add(server.id()));
        dispatcher.listed(ListKind.FULL, hosts(server -> true));
    }

    /** From now on only these servers are sent to, by requests that are in hand. */
    void restrictTo(IntPredicate server) {
        if (config.discovery() == null) {
            dispatcher.listed(ListKind.FULL, hosts(server));
        }
    }

    /** Returns whether the configuration names this server, or origin, of the pool. */
    boolean hasServer(int id) {
        return PoolSettings.allServers(config).stream().anyMatch(server -> server.id() == id);
    }

    private List<DiscoveryClient.Host> hosts(IntPredicate wanted) {
        List<DiscoveryClient.Host> hosts = new ArrayList<>();
        for (ServerConfig server : PoolSettings.allServers(config)) {
            if (!server.down() && wanted.test(server.id())) {
                Member member = PoolSettings.member(file, config, server, startTimes.startMs(server.id()));
                hosts.add(new DiscoveryClient.Host(member, server.address()));
            }
        }
        for (String server : config.siblings()) {
            SiblingConfig sibling = SiblingsConfig.of(file).sibling(server);
            hosts.add(new DiscoveryClient.Host(PoolSettings.sibling(config, sibling), sibling.fetchAddress()));
        }
        return hosts;
    }

    /** 0 if one more request may come in, which then counts; else the milliseconds after which to come again. */
    double admit(double nowMs) {
        return limiter.admit(nowMs, dispatcher.inHand());
    }

    /** The number by which this pool knows a request. */
    long keyHash(RouteInput input, Route route, String poolKey) {
        return keyHash.of(input, route, poolKey);
    }

    /** What drops repeats of keyed requests; null: nothing does. */
    String dedupGroup() {
        return config.dedupGroup();
    }

    /** What its module has learned, with at most so many hot keys. */
    public StateSnapshot.Pool learned(int maxKeys) {
        LearnedState state = dispatcher.knowledge(maxKeys);
        Map<Integer, String> addresses = new HashMap<>();
        for (LearnedState.Server server : state.servers()) {
            SocketAddress address = dispatcher.dial(server.id());
            if (address != null) {
                addresses.put(server.id(), Addresses.text(address));
            }
        }
        return new StateSnapshot.Pool(PoolSettings.keyScheme(file, config), state, addresses);
    }

    PoolConfig config() {
        return config;
    }
}
