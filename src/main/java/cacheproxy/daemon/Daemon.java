package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.config.PoolConfig;
import cacheproxy.control.DiagnosticEndpoints;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.client.ClientRegistry;
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.dispatch.LearnedStateProvider;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.process.GracefulShutdown;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.StateSnapshot;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The daemon: listeners, routes, pools and subsystems by one configuration file, which may be replaced under load. A
 * new file is read, and its addresses are bound, before anything changes; a file that can't be used changes nothing.
 *
 * <p>All state belongs to one event loop; methods that are called from other threads run there.
 */
public final class Daemon implements AutoCloseable {
    /** Connections are still accepted for this time after SIGTERM, until clients have seen the status. */
    private static final double ACCEPT_AFTER_SIGTERM_MS = 500;

    private static final long CLIENT_SWEEP_MS = 250;
    private static final long COLLECT_MS = 20;

    private final PollClock polls = new PollClock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, polls.watch(Transport.BEST));
    private final EventLoop loop = group.next();
    private final EventLoopContext core;
    private final ClientRegistry clients;
    private final Router router;
    private final ListenerSet listeners;
    private final ServerStarts serverStarts = new ServerStarts();
    private final RetiredConfigs retired = new RetiredConfigs();
    private final SplittableRandom random;
    private final Subsystems subsystems;
    private final SubsystemContext context;
    /** The snapshot of another proxy to start from; null if there is none, and after the start. */
    private Path seedFrom;

    /** Has the configuration read again; null if there is no file to read. */
    private volatile Runnable reloadRequest;

    private Daemon(DaemonConfig file, long seed, BooleanSupplier mayAcceptConnections) {
        random = new SplittableRandom(seed);
        StandardProtocols protocols = new StandardProtocols(random.nextLong());
        ProcessBudget budget = ProcessBudget.of(file.limits());
        core = new EventLoopContext(
                loop,
                polls,
                Transport.BEST.socket(),
                new EventLoopLimits(budget.valueBytes(), budget.serverSockets(), true));
        core.watchPauses();
        clients = new ClientRegistry(core, budget.clientSockets());
        router = new Router(core);
        listeners = new ListenerSet(core, clients, router, protocols, mayAcceptConnections);
        subsystems = new Subsystems(task -> loop.submit(task).syncUninterruptibly(), StandardSubsystems.ALL);
        context = new SubsystemContext(
                core,
                random,
                router::configuration,
                this::learnedState,
                () -> Optional.ofNullable(seedFrom),
                subsystems::controlHandlers,
                new DiagnosticEndpoints(core.invariants()::summary, core.events()::setEnabled, this::requestReload));
    }

    /** Starts a daemon; the exception says which address could not be bound. */
    public static Daemon start(DaemonConfig file, long seed) throws ConfigException, InterruptedException {
        return start(file, seed, null);
    }

    /** Starts a daemon that takes over from the snapshot of another proxy where it has none; null if there is none. */
    public static Daemon start(DaemonConfig file, long seed, Path seedFrom)
            throws ConfigException, InterruptedException {
        return start(file, seed, seedFrom, () -> true);
    }

    /**
     * Starts a daemon and returns once it accepts clients.
     *
     * @param seed of all its random draws
     * @param seedFrom the snapshot of another proxy, for what this one has no snapshot of; null if there is none
     * @param mayAcceptConnections asked on the event loop right before the daemon listens for clients. If it returns
     *     false, as the process is about to end, this method does not return
     */
    public static Daemon start(DaemonConfig file, long seed, Path seedFrom, BooleanSupplier mayAcceptConnections)
            throws ConfigException, InterruptedException {
        Daemon daemon = new Daemon(file, seed, mayAcceptConnections);
        daemon.seedFrom = seedFrom;
        try {
            daemon.load(file);
        } catch (ConfigException e) {
            daemon.close();
            throw e;
        }
        daemon.seedFrom = null;
        daemon.listeners.awaitAccepting();
        daemon.loop.submit(daemon::startPeriodicTasks).sync();
        return daemon;
    }

    // The tasks end with the event loop, so that nobody needs their futures.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void startPeriodicTasks() {
        core.addServerObserver(new ServerRestartObserver(core, serverStarts, subsystems, router::configuration));
        loop.scheduleWithFixedDelay(clients::closeStalled, CLIENT_SWEEP_MS, CLIENT_SWEEP_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::collectUnused, COLLECT_MS, COLLECT_MS, TimeUnit.MILLISECONDS);
    }

    /** Sets what {@code POST /reload} of the control address does; it must not block. */
    public void onReloadRequest(Runnable request) {
        reloadRequest = request;
    }

    private boolean requestReload() {
        Runnable request = reloadRequest;
        if (request != null) {
            request.run();
        }
        return request != null;
    }

    /** The subsystem of this class or with this role; null where the file has none. From any thread. */
    public <T> T subsystem(Class<T> role) {
        return subsystems.get(role);
    }

    /** The address of a listener; null if there is none of this name. */
    public InetSocketAddress address(String listener) {
        return addresses().get(listener);
    }

    /** The addresses of all listeners by name, in the file's order. */
    public Map<String, InetSocketAddress> addresses() {
        return onLoop(listeners::addresses);
    }

    /** Pending requests, those of earlier configurations among them. */
    public int inHand() {
        return onLoop(() -> router.configuration().pendingRequests + retired.pendingRequests());
    }

    /** The id of the event loop's thread, for measurements. */
    public long threadId() {
        return onLoop(() -> Thread.currentThread().getId());
    }

    /** The address of the ICP socket; null where none is configured. */
    public InetSocketAddress icpAddress() {
        return subsystems.address(SiblingSocket.SECTION).orElse(null);
    }

    /** The control address; null where none is configured. */
    public InetSocketAddress controlAddress() {
        return subsystems.address(ControlSubsystem.SECTION).orElse(null);
    }

    /** Pools in use, retired ones among them; for tests. */
    int poolsAtWork() {
        return onLoop(() -> router.configuration().pools.size() + retired.poolCount());
    }

    private <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Reads a file and adopts it; if it can't be used the exception says why and nothing changes. */
    public synchronized void reload(Path path) throws ConfigException, InterruptedException {
        load(DaemonConfigReader.read(path));
    }

    /** Adopts a configuration; not on the event loop, as binding addresses blocks. */
    public synchronized void load(DaemonConfig file) throws ConfigException, InterruptedException {
        Map<String, Listener> reserved = listeners.reserve(file);
        Subsystems.Change change;
        try {
            change = subsystems.prepare(context, file);
        } catch (ConfigException e) {
            reserved.values().forEach(Listener::close);
            throw e;
        }
        loop.submit(() -> {
                    change.commit();
                    commit(file, reserved);
                    change.closeReplaced();
                })
                .sync();
        change.endReplaced();
    }

    private void commit(DaemonConfig file, Map<String, Listener> reserved) {
        double nowMs = core.nowMs();
        ConfigSnapshot previous = router.configuration();
        serverStarts.apply(file, previous == null ? null : previous.file, nowMs);
        LearnedStateSource restored = subsystems.get(LearnedStateSource.class);
        if (previous == null && restored != null) {
            restored.restoreStartTimes(serverStarts.times(), nowMs);
        }
        Map<String, PoolRuntime> pools = new LinkedHashMap<>();
        for (PoolConfig pool : file.pools().values()) {
            PoolRuntime current = previous == null ? null : previous.pools.get(pool.name());
            pools.put(pool.name(), continueOrReplace(file, pool, current, nowMs));
        }
        RequestValidator validator = new RequestValidator(core, file.classes(), file.tenants());
        ConfigSnapshot next = new ConfigSnapshot(file, pools, validator, subsystems);
        router.use(next);
        if (previous != null) {
            retired.add(previous, next, nowMs);
        }
        listeners.commit(file, reserved);
    }

    private PoolRuntime continueOrReplace(DaemonConfig file, PoolConfig pool, PoolRuntime current, double nowMs) {
        if (current != null && current.fits(file, pool)) {
            current.apply(file);
            return current;
        }
        long seed = random.nextLong();
        LearnedStateSource restored = subsystems.get(LearnedStateSource.class);
        LearnedStateProvider learned = null;
        if (current != null) {
            learned = LearnedStates.handOver(file, pool, current, nowMs);
        } else if (restored != null) {
            learned = restored.learnedStateFor(file, pool);
        }
        PoolContext poolContext = new PoolContext(core, serverStarts.budget(), serverStarts.times(), subsystems);
        return new PoolRuntime(poolContext, file, pool, seed, learned);
    }

    private void collectUnused() {
        listeners.removeDrained();
        retired.collect(router.configuration().file, core.nowMs());
    }

    /** Shuts down gracefully: serves pending requests, and returns once that is done or at the longest deadline. */
    public void drain() {
        loop.execute(subsystems::drain);
        new GracefulShutdown(loop, core, ACCEPT_AFTER_SIGTERM_MS, this::drainListeners)
                .run(() -> router.configuration().file.classes().stream()
                        .mapToDouble(ServiceClass::deadlineMs)
                        .max()
                        .orElse(0));
        subsystems.finish();
    }

    private boolean drainListeners() {
        boolean drained = listeners.drainAll();
        collectUnused();
        return drained;
    }

    /** The state worth saving, with at most so many hot keys a pool. */
    private StateSnapshot learnedState(int maxKeys) {
        DaemonConfig file = router.configuration().file;
        Map<String, PoolState> pools = new LinkedHashMap<>();
        router.configuration().pools.forEach((name, pool) -> pools.put(name, pool.learned(maxKeys)));
        return new StateSnapshot(
                file.site().name(),
                file.site().proxyIndex(),
                core.nowMs(),
                0,
                pools,
                serverStarts.snapshot(LearnedStates.addresses(file)));
    }

    /** Ends at once. */
    @Override
    public void close() {
        loop.submit(() -> {
                    if (router.configuration() != null) {
                        router.configuration().pools.values().forEach(pool -> pool.dispatcher.stop());
                        router.configuration().end();
                    }
                    retired.end();
                    subsystems.close();
                })
                .syncUninterruptibly();
        subsystems.end();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
