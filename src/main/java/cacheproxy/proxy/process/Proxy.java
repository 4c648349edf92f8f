package cacheproxy.proxy.process;

import cacheproxy.discovery.VersionGossip;
import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.lifecycle.Lifecycle;
import cacheproxy.lifecycle.LifecycleTiming;
import cacheproxy.lifecycle.WarmUpPlan;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.client.ClientRegistry;
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.client.MetaProtocol;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.PeerSocket;
import cacheproxy.proxy.dispatch.Dispatcher;
import cacheproxy.proxy.dispatch.SinglePoolHandler;
import cacheproxy.proxy.net.EventLoopWatch;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The platform's proxy: one pool, one listener and one event loop. Starts and shuts down all of them. Its methods can
 * be called from any thread except the event loop's.
 */
public final class Proxy {
    private static final long STALLED_CHECK_INTERVAL_MS = 250;
    /**
     * The longest deadline that the platform waits for before it kills a process that it has asked to end; service
     * classes can have longer ones.
     */
    private static final double MAX_SHUTDOWN_DEADLINE_MS = 3000;

    private final PollClock polls = new PollClock();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, polls.newIoHandlerFactory(Transport.BEST));
    private final EventLoop loop = group.next();
    private final EventLoopWatch loopWatch = EventLoopWatch.haltWhenEnded(group);
    private final PlatformConfig config;
    private final EventLoopContext loopContext;
    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final DiscoveryClient discovery;
    private final ConfigReloader reloader;
    private final ClientRegistry clients;
    private final Listener listener;
    private final Lifecycle lifecycle = new Lifecycle(LifecycleTiming.DEFAULT);
    /** Null if no control address is configured. */
    private final OperatorActions operatorActions;
    /** Requests a reload of the configuration; null if there is no file to read. */
    private volatile Runnable reloadRequest;

    private Proxy(PlatformConfig config, boolean warm, BooleanSupplier mayAcceptConnections)
            throws InterruptedException {
        this.config = config;
        if (warm) {
            warmUp();
        }
        loopContext = new EventLoopContext(loop, polls, Transport.BEST.socket(), config.eventLoopLimits());
        loopContext.startHeartbeat();
        ConfigReloader.applyEventLog(loopContext, config);
        dispatcher = new Dispatcher(loopContext, PlatformPool.options(config));
        peers = new PeerSocket(loop, config.peerAddresses(), this::peerMessage);
        clients = new ClientRegistry(loopContext, config.maxClientConnections());
        discovery = new DiscoveryClient(loopContext, config.discoverySource(), dispatcher);
        reloader = new ConfigReloader(loopContext, discovery);
        loop.submit(this::startDispatching).syncUninterruptibly();
        listener = new Listener(
                loopContext, clients, new SinglePoolHandler(loopContext, dispatcher), MetaProtocol.platform());
        if (!mayAcceptConnections.getAsBoolean()) {
            throw new StartAbandonedException();
        }
        if (config.control() == null) {
            listener.bind(config.listen()).sync();
            operatorActions = null;
        } else {
            operatorActions = OperatorActions.start(
                    loopContext,
                    lifecycle,
                    clients,
                    listener,
                    config,
                    dispatcher::slowStartSummary,
                    this::requestReload);
        }
    }

    private void warmUp() {
        boolean hasPredecessor = config.control() != null && OperatorActions.predecessorSeemsToRun(config);
        WarmUp.run(loop, config, WarmUpPlan.of(config.settings().instanceCount(), hasPredecessor));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void startDispatching() {
        dispatcher.start(discovery, peers::send);
        discovery.start();
        loop.scheduleWithFixedDelay(
                clients::closeStalled, STALLED_CHECK_INTERVAL_MS, STALLED_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void peerMessage(int peer, byte[] message) {
        if (!VersionGossip.isVersionMessage(message)) {
            dispatcher.peerMessageReceived(peer, message);
        } else if (discovery != null) { // a message can arrive before the constructor has set it
            discovery.versionAnnounced(peer, message);
        }
    }

    /**
     * Starts a proxy after a warm-up, which makes the JVM compile the code that handles requests.
     *
     * @param mayAcceptConnections called right before the proxy listens for clients; returns whether it may
     * @throws StartAbandonedException if it may not accept connections
     */
    static Proxy startWarm(PlatformConfig config, BooleanSupplier mayAcceptConnections) throws InterruptedException {
        return new Proxy(config, true, mayAcceptConnections);
    }

    /** Starts a proxy without a warm-up. */
    public static Proxy start(PlatformConfig config) throws InterruptedException {
        return new Proxy(config, false, () -> true);
    }

    /** The folder that a process shares with its next version. */
    static Path sharedFolder() {
        return Path.of(System.getenv().getOrDefault("TMPDIR", "/tmp"));
    }

    // ---- reload

    /** Reloads the configuration; see {@link ConfigReloader#reload}. Must not be called concurrently. */
    public void reload(String path) {
        reloader.reload(path);
    }

    /** Sets the task that a reload request to the control address runs; it must not block. */
    void onReloadRequest(Runnable request) {
        reloadRequest = request;
    }

    private boolean requestReload() {
        Runnable request = reloadRequest;
        if (request != null) {
            request.run();
        }
        return request != null;
    }

    // ---- state

    /** The address for clients. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** The address for operators, which must be configured. */
    InetSocketAddress controlAddress() {
        return operatorActions.address();
    }

    /** The address for messages of other proxies; null if there is none. */
    public InetSocketAddress peerAddress() {
        return peers.address();
    }

    /** Whether the policy considers a server healthy. */
    public boolean isHealthy(int server) {
        return loop.submit(() -> dispatcher.isHealthy(server))
                .syncUninterruptibly()
                .getNow();
    }

    /** The number of open client connections. */
    public int clientCount() {
        return loop.submit(listener::connectionCount).syncUninterruptibly().getNow();
    }

    /** The number of requests without a response. */
    public int pendingRequests() {
        return loop.submit(dispatcher::pendingRequests).syncUninterruptibly().getNow();
    }

    /** Returns, in one line, how many actions were stopped by an invariant and how many violated one. */
    public String invariantSummary() {
        return loop.submit(loopContext.invariants()::summary)
                .syncUninterruptibly()
                .getNow();
    }

    /** Returns, in several lines, the servers in their slow start with their budgets. */
    public String slowStartSummary() {
        return loop.submit(dispatcher::slowStartSummary).syncUninterruptibly().getNow();
    }

    /** The state that the event loop's users share; to be used on the event loop only. */
    EventLoopContext loopContext() {
        return loopContext;
    }

    /** The bytes that are held in memory for clients; see {@link cacheproxy.proxy.memory.MemoryAccount}. */
    public long heldBytes() {
        return loop.submit(() -> loopContext.memory().usedBytes())
                .syncUninterruptibly()
                .getNow();
    }

    /** Describes the memory that is held for clients, a line for each purpose. */
    public String memorySummary() {
        return loop.submit(loopContext::memorySummary).syncUninterruptibly().getNow();
    }

    /** Writes a line to the log on standard error. */
    void log(String line) {
        loopContext.log(line);
    }

    /** Runs a task on the event loop after this delay, for tests that wait on the proxy's own clock. */
    public void runAfter(double delayMs, Runnable task) {
        loop.execute(() -> loopContext.after(delayMs, task));
    }

    /** Simulates that the system fails an accept with this error, for tests. */
    public void simulateAcceptFailure(IOException error) {
        listener.channel().pipeline().fireExceptionCaught(error);
    }

    // ---- shutdown

    /** Shuts down gracefully; returns when requests have their responses or the platform's time for that is over. */
    public void drain() {
        new GracefulShutdown(loop, loopContext, 0, this::isDrained, this::concludeRequests).run(this::beginDraining);
        closeOperatorActions();
        loopContext.events().close();
    }

    /** Begins the shutdown; returns the time, in milliseconds, after which no more requests are accepted. */
    private double beginDraining() {
        if (loopContext.events().isEnabled()) {
            loopContext
                    .events()
                    .line(ProxyEvent.STATE_CHANGED)
                    .with("state", "draining")
                    .with("in_hand", dispatcher.pendingRequests())
                    .write();
        }
        lifecycle.beginShutdown(loopContext.nowMs(), operatorActions != null && operatorActions.hasSuccessor());
        double longestDeadlineMs = config.settings().classes().stream()
                .mapToDouble(ServiceClass::deadlineMs)
                .max()
                .orElse(0);
        LifecycleTiming timing = LifecycleTiming.DEFAULT;
        return Math.max(timing.extraListenMs(), timing.shutdownDrainMs())
                + Math.min(longestDeadlineMs, MAX_SHUTDOWN_DEADLINE_MS);
    }

    private void concludeRequests() {
        listener.concludeConnections();
        dispatcher.concludeAll();
    }

    private boolean isDrained() {
        double nowMs = loopContext.nowMs();
        listener.setAcceptsClients(lifecycle.acceptsClients());
        if (!lifecycle.acceptsConnections(nowMs)) {
            listener.stopListening();
        }
        listener.closeIdle(lifecycle.closingFraction(nowMs));
        return !lifecycle.acceptsConnections(nowMs) && listener.isEmpty();
    }

    private void closeOperatorActions() {
        if (operatorActions != null) {
            loop.submit(operatorActions::close).syncUninterruptibly();
        }
    }

    /** Ends the event loop at once, for tests. */
    public void close() {
        closeOperatorActions();
        loopWatch.expectEnd();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
