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
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
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
    private final ServerStartTimes births;
    private final PoolAdmissionControl admission;
    private final DiscoveryClient discovery;
    private final Set<Integer> backups = new HashSet<>();
    private DaemonConfig file;
    private PoolConfig spec;
    private PoolLimiter gate;
    private KeyHash number;

    PoolRuntime(
            EventLoopContext core,
            DaemonConfig file,
            PoolConfig spec,
            long seed,
            SlowStartBudget cold,
            ServerStartTimes births,
            Dispatcher.Recollections recollections,
            Subsystems subsystems) {
        Supplier<FleetCoordination> fleet = () -> subsystems.get(FleetCoordination.class);
        SiblingSocket siblings = subsystems.get(SiblingSocket.class);
        name = spec.name();
        this.file = file;
        this.spec = spec;
        this.births = births;
        settings = PoolSettings.of(file, spec);
        number = PoolSettings.number(spec);
        admission = new PoolAdmissionControl(cold, retries(spec), server -> mayTry(fleet.get(), server));
        gate = new PoolLimiter(spec.maxPending(), spec.maxRequestsPerSecond());
        dispatcher = new Dispatcher(
                core,
                new Dispatcher.Pool(
                        settings,
                        seed,
                        file.limits().idleCloseMs(),
                        spec.connections(),
                        spec.originConnections(),
                        spec.connections(),
                        spec.streams(),
                        spec.plainServers(),
                        BackupPlacement.withBackups(
                                members -> PoolSettings.placement(this.spec).create(members), backups::contains),
                        admission));
        dispatcher.recall(recollections);
        if (siblings != null) {
            PoolSiblings own = siblings.of(spec);
            dispatcher.siblings(own, own);
        }
        dispatcher.probes(new Probes(fleet));
        if (spec.discovery() == null) {
            discovery = null;
            dispatcher.start(Dispatcher.ListSource.NONE);
            list();
        } else {
            DiscoveryConfig d = spec.discovery();
            discovery = new DiscoveryClient(
                    core,
                    new DiscoveryClient.Source(d.address(), null, true, d.zones(), d.kinds()),
                    dispatcher,
                    new Pace(fleet));
            dispatcher.start(discovery);
            discovery.start();
        }
    }

    private boolean mayTry(FleetCoordination fleet, int server) {
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

    private static RetryBudget retries(PoolConfig spec) {
        return new RetryBudget(spec.retryRatio(), spec.guaranteedRetries());
    }

    /** Whether this pool can go on under another file; else a new one must take its place. */
    boolean fits(DaemonConfig other, PoolConfig next) {
        return settings.equals(PoolSettings.of(other, next))
                && spec.connections() == next.connections()
                && spec.originConnections() == next.originConnections()
                && spec.streams() == next.streams()
                && spec.plainServers() == next.plainServers()
                && spec.placement().equals(next.placement())
                && java.util.Objects.equals(spec.discovery(), next.discovery())
                && SiblingsConfig.of(file).equals(SiblingsConfig.of(other))
                && spec.siblings().equals(next.siblings())
                && file.limits().idleCloseMs() == other.limits().idleCloseMs();
    }

    /** Takes over what a new file says of servers and bounds. */
    void apply(DaemonConfig next) {
        PoolConfig pool = next.pools().get(name);
        boolean sameGate =
                pool.maxPending() == spec.maxPending() && pool.maxRequestsPerSecond() == spec.maxRequestsPerSecond();
        boolean sameRetries =
                pool.retryRatio() == spec.retryRatio() && pool.guaranteedRetries() == spec.guaranteedRetries();
        file = next;
        spec = pool;
        number = PoolSettings.number(pool);
        if (!sameGate) {
            gate = new PoolLimiter(spec.maxPending(), spec.maxRequestsPerSecond());
        }
        if (!sameRetries) {
            admission.setRetryBudget(retries(spec));
        }
        if (spec.discovery() == null) {
            list();
        }
    }

    /** Hands the module the file's servers. */
    void list() {
        backups.clear();
        spec.servers().stream().filter(ServerConfig::backup).forEach(s -> backups.add(s.id()));
        dispatcher.listed(ListKind.FULL, hosts(s -> true));
    }

    /** From now on only these servers are sent to, by requests that are in hand. */
    void listOnly(IntPredicate server) {
        if (spec.discovery() == null) {
            dispatcher.listed(ListKind.FULL, hosts(server));
        }
    }

    boolean has(int server) {
        return spec.servers().stream().anyMatch(s -> s.id() == server)
                || spec.origin() != null && spec.origin().id() == server;
    }

    private List<DiscoveryClient.Host> hosts(IntPredicate wanted) {
        List<DiscoveryClient.Host> hosts = new ArrayList<>();
        for (ServerConfig s : PoolSettings.all(spec)) {
            if (!s.down() && wanted.test(s.id())) {
                Member m = PoolSettings.member(file, spec, s, births.startMs(s.id()));
                hosts.add(new DiscoveryClient.Host(m, s.address()));
            }
        }
        for (String s : spec.siblings()) {
            SiblingConfig sibling = SiblingsConfig.of(file).sibling(s);
            hosts.add(new DiscoveryClient.Host(PoolSettings.sibling(spec, sibling), sibling.fetchAddress()));
        }
        return hosts;
    }

    /** 0 if one more request may come in, which then counts; else the milliseconds after which to come again. */
    double admit(double now) {
        return gate.admit(now, dispatcher.inHand());
    }

    /** The number by which this pool knows a request. */
    long number(RouteInput s, Route route, String poolKey) {
        return number.of(s, route, poolKey);
    }

    /** What drops repeats of keyed requests; null: nothing does. */
    String dedupGroup() {
        return spec.dedupGroup();
    }

    /** What its module has learned, with at most so many hot keys. */
    public PoolState learned(int mostKeys) {
        LearnedState k = dispatcher.knowledge(mostKeys);
        Map<Integer, String> addresses = new HashMap<>();
        for (LearnedServer s : k.servers()) {
            SocketAddress dial = dispatcher.dial(s.id());
            if (dial != null) {
                addresses.put(s.id(), Addresses.text(dial));
            }
        }
        return new PoolState(PoolSettings.keyScheme(file, spec), k, addresses);
    }

    PoolConfig spec() {
        return spec;
    }
}
