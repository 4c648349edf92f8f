package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.control.DiagnosticEndpoints;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.client.ClientRegistry;
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.net.EventLoopWatch;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.process.GracefulShutdown;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import cacheproxy.snapshot.state.StateSnapshot;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The daemon: runs the listeners, routes, pools and subsystems of one configuration file, which can be replaced under
 * load. A new file is read, and its addresses are bound, before anything changes; a file that can't be used changes
 * nothing.
 *
 * <p>All state belongs to one event loop; methods that are called from other threads run their work on it.
 */
public final class Daemon implements AutoCloseable {
    /** How long connections are still accepted after SIGTERM, so that clients can see the changed status first. */
    private static final double ACCEPT_AFTER_SIGTERM_MS = 500;

    private static final long CLIENT_SWEEP_INTERVAL_MS = 250;
    private static final long COLLECT_INTERVAL_MS = 20;

    private final PollClock polls = new PollClock();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, polls.newIoHandlerFactory(Transport.BEST));
    private final EventLoopWatch loopWatch = EventLoopWatch.haltWhenEnded(group);
    private final EventLoop loop = group.next();
    private final EventLoopContext core;
    private final ClientRegistry clients;
    private final Router router;
    private final ListenerSet listeners;
    private final ServerStarts serverStarts = new ServerStarts();
    private final RetiredConfigs retired = new RetiredConfigs();
    private final SplittableRandom random;
    private final Subsystems subsystems;
    private final PoolTransition poolTransition;
    private final SubsystemContext context;
    /** The snapshot of another proxy to start from; null if none is given, and after the start. */
    private Path seedFrom;

    /** Triggers a reload of the configuration file; null if there is no file to read. */
    private volatile Runnable reloadRequest;
    /** Whether the shutdown has begun, after which no configuration is adopted. Used on the event loop only. */
    private boolean draining;

    private Daemon(
            DaemonConfig file,
            long seed,
            BooleanSupplier mayAcceptConnections,
            List<Subsystem.Registration> registrations) {
        random = new SplittableRandom(seed);
        StandardProtocols protocols = new StandardProtocols(random.nextLong());
        ProcessBudget budget = ProcessBudget.of(file.limits());
        core = new EventLoopContext(
                loop,
                polls,
                Transport.BEST.socket(),
                new EventLoopLimits(budget.valueBytes(), budget.serverSockets(), true));
        core.startHeartbeat();
        clients = new ClientRegistry(core, budget.clientSockets());
        router = new Router(core);
        listeners = new ListenerSet(core, clients, router, protocols, mayAcceptConnections);
        subsystems = new Subsystems(task -> loop.submit(task).syncUninterruptibly(), registrations);
        poolTransition = new PoolTransition(core, serverStarts, subsystems, random);
        context = new SubsystemContext(
                core,
                random,
                router::configuration,
                this::learnedState,
                () -> Optional.ofNullable(seedFrom),
                subsystems::controlHandlers,
                new DiagnosticEndpoints(
                        core.invariants()::summary,
                        core::memorySummary,
                        () -> core.load().summary() + clients.summary(),
                        () -> router.configuration().slowStartSummary(),
                        core.events()::setEnabled,
                        this::requestReload));
    }

    /** Starts a daemon. If an address can't be bound, the exception names it. */
    public static Daemon start(DaemonConfig file, long seed) throws ConfigException, InterruptedException {
        return start(file, seed, null, () -> true);
    }

    /**
     * Starts a daemon and returns once it accepts clients.
     *
     * @param seed seed of the daemon's random number generators
     * @param seedFrom the snapshot of another proxy, used if this one has no snapshot of its own; null if none is given
     * @param mayAcceptConnections called on the event loop right before the daemon listens for clients. If it returns
     *     false because the process is about to end, this method does not return
     */
    public static Daemon start(DaemonConfig file, long seed, Path seedFrom, BooleanSupplier mayAcceptConnections)
            throws ConfigException, InterruptedException {
        Daemon daemon = new Daemon(file, seed, mayAcceptConnections, StandardSubsystems.ALL);
        daemon.seedFrom = seedFrom;
        return daemon.start(file);
    }

    /** Starts a daemon with the given subsystems; for tests. */
    static Daemon start(DaemonConfig file, long seed, List<Subsystem.Registration> registrations)
            throws ConfigException, InterruptedException {
        return new Daemon(file, seed, () -> true, registrations).start(file);
    }

    private Daemon start(DaemonConfig file) throws ConfigException, InterruptedException {
        try {
            load(file);
            listeners.awaitAccepting();
        } catch (Exception | Error e) { // Netty also throws checked exceptions that it does not declare
            close();
            throw e;
        }
        seedFrom = null;
        loop.submit(this::startPeriodicTasks).sync();
        return this;
    }

    // The tasks end with the event loop, so their futures are not needed.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void startPeriodicTasks() {
        core.addServerObserver(new ServerRestartObserver(core, serverStarts, subsystems, router::configuration));
        loop.scheduleWithFixedDelay(
                clients::closeStalled, CLIENT_SWEEP_INTERVAL_MS, CLIENT_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                this::collectUnused, COLLECT_INTERVAL_MS, COLLECT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Sets the action of {@code POST /reload} at the control address. The action must not block. */
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

    /** Returns the subsystem that implements this type; null if the configuration has none. Thread-safe. */
    public <T> T subsystem(Class<T> role) {
        return subsystems.get(role);
    }

    /** Returns the address of a listener; null if there is no listener of this name. */
    public InetSocketAddress address(String listener) {
        return addresses().get(listener);
    }

    /** Returns the addresses of all listeners by name, in the order of the configuration file. */
    public Map<String, InetSocketAddress> addresses() {
        return onLoop(listeners::addresses);
    }

    /** Returns the number of pending requests, including those of earlier configurations. */
    public int pendingRequests() {
        return onLoop(() -> router.configuration().pendingRequests + retired.pendingRequests());
    }

    /** Returns the id of the event loop's thread, for measurements. */
    public long threadId() {
        return onLoop(() -> Thread.currentThread().getId());
    }

    /** Returns the address of the ICP socket; null if none is configured. */
    public InetSocketAddress icpAddress() {
        return subsystems.address(SiblingSocket.SECTION).orElse(null);
    }

    /** Returns the control address; null if none is configured. */
    public InetSocketAddress controlAddress() {
        return subsystems.address(ControlSubsystem.SECTION).orElse(null);
    }

    /** Returns the number of pools in use, including retired ones; for tests. */
    int poolCount() {
        return onLoop(() -> router.configuration().pools.size() + retired.poolCount());
    }

    private <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Reads and adopts a configuration file. If it can't be used, the exception says why and nothing changes. */
    public synchronized void reload(Path path) throws ConfigException, InterruptedException {
        load(DaemonConfigReader.read(path));
    }

    /**
     * Adopts a configuration. Must not be called on the event loop, as binding addresses blocks.
     *
     * @throws ConfigException if the configuration can't be used or the daemon is shutting down; nothing has changed
     *     then
     */
    public synchronized void load(DaemonConfig file) throws ConfigException, InterruptedException {
        Map<String, Listener> reserved = listeners.reserve(file);
        boolean adopted = false;
        try {
            adopted = adopt(file, reserved);
        } finally {
            if (!adopted) {
                reserved.values().forEach(Listener::close);
            }
        }
        if (!adopted) {
            throw ConfigException.of(List.of("the daemon is shutting down and adopts no configuration"));
        }
    }

    /**
     * Adopts a configuration whose listener addresses are reserved. Returns false, and changes nothing, if the daemon
     * is shutting down.
     */
    private boolean adopt(DaemonConfig file, Map<String, Listener> reserved)
            throws ConfigException, InterruptedException {
        Subsystems.Change change = subsystems.prepare(context, file);
        boolean adopted = onLoop(() -> !draining && commit(change, file, reserved));
        if (adopted) {
            change.endReplaced();
        } else {
            change.rollBack();
        }
        return adopted;
    }

    private boolean commit(Subsystems.Change change, DaemonConfig file, Map<String, Listener> reserved) {
        change.commit();
        commit(file, reserved);
        change.closeReplaced();
        return true;
    }

    private void commit(DaemonConfig file, Map<String, Listener> reserved) {
        double nowMs = core.nowMs();
        ConfigSnapshot previous = router.configuration();
        serverStarts.apply(file, previous == null ? null : previous.file, nowMs);
        LearnedStateSource restored = subsystems.get(LearnedStateSource.class);
        if (previous == null && restored != null) {
            restored.restoreStartTimes(serverStarts.times(), nowMs);
        }
        Map<String, PoolRuntime> pools = poolTransition.poolsOf(file, previous, nowMs);
        RequestValidator validator = new RequestValidator(core, file.classes(), file.tenants());
        ConfigSnapshot next = new ConfigSnapshot(file, pools, validator, subsystems);
        router.use(next);
        if (previous != null) {
            retired.add(previous, next, nowMs);
        }
        listeners.commit(file, reserved);
    }

    private void collectUnused() {
        listeners.removeDrained();
        retired.collect(router.configuration().file, core.nowMs());
    }

    /**
     * Shuts down gracefully: serves pending requests, and returns when they are concluded or at the longest deadline.
     */
    public void drain() {
        loop.execute(() -> {
            draining = true;
            subsystems.drain();
        });
        new GracefulShutdown(loop, core, ACCEPT_AFTER_SIGTERM_MS, this::drainListeners, this::concludeRequests)
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

    private void concludeRequests() {
        listeners.concludeConnections();
        router.configuration().concludeRequests();
        retired.concludeRequests();
    }

    /** Returns the learned state that is worth saving, with at most {@code maxKeys} hot keys per pool. */
    private StateSnapshot learnedState(int maxKeys) {
        return LearnedStates.export(router.configuration(), serverStarts, core.nowMs(), maxKeys);
    }

    /** Stops the daemon at once, without waiting for pending requests. */
    @Override
    public void close() {
        loop.submit(() -> {
                    if (router.configuration() != null) {
                        router.configuration().pools.values().forEach(pool -> pool.dispatcher.stop());
                        router.configuration().stopHooks();
                    }
                    retired.stopHooks();
                    subsystems.close();
                })
                .syncUninterruptibly();
        subsystems.end();
        loopWatch.expectEnd();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
