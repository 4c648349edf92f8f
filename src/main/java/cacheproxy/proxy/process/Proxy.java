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
import cacheproxy.proxy.net.NettyDefaults;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One real proxy: its sockets, their bounds and its end. */
public final class Proxy {
    /**
     * Descriptors that the JVM and its files, the listening socket, discovery and peers need: 41 were counted, and 4
     * come.
     */
    private static final int OWN_DESCRIPTORS = 48;

    private static final long SWEEP_MS = 250;
    /**
     * The longest deadline that the platform waits for before it kills a process that was told to end; classes may have
     * longer ones.
     */
    private static final double LONGEST_LEFT_MS = 3000;

    private final PollClock polls = new PollClock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, polls.watch(Transport.BEST));
    private final EventLoop loop = group.next();
    private final PlatformConfig config;
    private final EventLoopContext core;
    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final DiscoveryClient discovery;
    private final ClientRegistry clientCount;
    private final Listener listener;
    private final Lifecycle lifecycle = new Lifecycle(LifecycleTiming.DEFAULT);
    /** Null where no control address is configured. */
    private final OperatorActions operations;
    /** The file that a reload reads; null: none. */
    private volatile String reloadFrom;

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private Proxy(PlatformConfig config, boolean warm) throws InterruptedException {
        this.config = config;
        if (warm) {
            boolean beside =
                    config.control() != null && OperatorActions.predecessorSeemsToRun(config.listen(), folder());
            WarmUp.run(loop, config, WarmUpPlan.of(config.settings().instanceCount(), beside));
        }
        core = new EventLoopContext(loop, polls, Transport.BEST.socket(), config.eventLoopLimits());
        core.watchPauses();
        useEventLog(config);
        dispatcher = new Dispatcher(core, Dispatcher.Pool.of(config));
        peers = new PeerSocket(loop, config, this::heard);
        clientCount = new ClientRegistry(
                core,
                Math.max(
                        16,
                        config.maxSockets()
                                - config.maxSockets() / 3
                                - OWN_DESCRIPTORS
                                - (config.control() == null ? 0 : OperatorActions.MAX_DESCRIPTORS)));
        discovery = new DiscoveryClient(core, DiscoveryClient.Source.of(config), dispatcher);
        loop.submit(() -> {
                    dispatcher.start(discovery, peers);
                    discovery.start();
                    loop.scheduleWithFixedDelay(clientCount::closeStalled, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
                })
                .syncUninterruptibly();
        listener = new Listener(core, clientCount, new SinglePoolHandler(core, dispatcher), MetaProtocol.platform());
        if (config.control() == null) {
            listener.bind(config.listen()).sync();
            operations = null;
        } else {
            operations = OperatorActions.start(
                    loop,
                    core,
                    lifecycle,
                    listener,
                    config.listen(),
                    config.control(),
                    folder(),
                    this::reloadElsewhere);
        }
    }

    /** Files are not read on the loop. */
    private boolean reloadElsewhere() {
        String path = reloadFrom;
        if (path == null) {
            return false;
        }
        Thread reader = new Thread(() -> reload(path), "reload");
        reader.setDaemon(true);
        reader.start();
        return true;
    }

    private void heard(int peer, byte[] message) {
        if (!VersionGossip.isVersionMessage(message)) {
            dispatcher.heard(peer, message);
        } else if (discovery != null) {
            discovery.heard(peer, message);
        }
    }

    /** The folder that a process shares with its next version. */
    private static Path folder() {
        return Path.of(System.getenv().getOrDefault("TMPDIR", "/tmp"));
    }

    /** Runs a proxy by the configuration that the environment names, until SIGTERM. */
    public static void main() {
        NettyDefaults.apply();
        PlatformConfig config = configuration();
        String path = System.getenv("BALANCER_CONFIG");
        try {
            boolean heard = SighupHandler.install(() -> {});
            Proxy proxy = new Proxy(config, true);
            if (!heard) {
                proxy.core.log(SighupHandler.IGNORED_MESSAGE);
            }
            SighupHandler.install(() -> proxy.reload(path));
            proxy.reloadFrom = path;
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::drain));
        } catch (Exception e) {
            System.err.println("can't listen on " + config.listen() + ": " + e.getMessage());
            System.exit(1);
        }
    }

    /** Reads the configuration again for discovery's address; one that is of no use leaves all as it is. */
    public void reload(String path) {
        try {
            PlatformConfig read = PlatformConfig.read(path);
            InetSocketAddress to = read.discovery();
            useEventLog(read);
            if (core.events.isEnabled()) {
                core.events
                        .line(ProxyEvent.STATE_CHANGED)
                        .with("state", "reloaded")
                        .with("discovery", to)
                        .write();
            }
            loop.execute(() -> discovery.move(to));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
        }
    }

    /** The configuration may switch the event log; where it says nothing, the log stays as it is. */
    private void useEventLog(PlatformConfig read) {
        if (read.eventLog() != null) {
            core.events.setEnabled(read.eventLog());
        }
    }

    private static PlatformConfig configuration() {
        try {
            return PlatformConfig.read(System.getenv("BALANCER_CONFIG"));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(2);
            throw e;
        }
    }

    /**
     * Starts a proxy and its next version, calls what operators call and ends them as the service ends, so that the
     * build can archive the classes of all that; the process's exit code. What is missing here each start reads and
     * verifies anew.
     */
    public static int train() {
        NettyDefaults.apply();
        try {
            SighupHandler.install(() -> {});
            PlatformConfig config = configuration().forTraining();
            Proxy first = new Proxy(config, true);
            Proxy next = new Proxy(config, false);
            for (String call : new String[] {"GET /status", "POST /standby", "POST /active"}) {
                try (Socket operator = new Socket(
                        config.listen().getAddress(), next.controlAddress().getPort())) {
                    operator.getOutputStream()
                            .write((call + " HTTP/1.1\r\nHost: train\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    operator.getInputStream().readAllBytes();
                }
            }
            first.drain();
            next.drain();
            return 0;
        } catch (InterruptedException | IOException | ReflectiveOperationException e) {
            System.err.println("no training: " + e);
            return 1;
        }
    }

    /** Starts without a warm-up. */
    public static Proxy start(PlatformConfig config) throws InterruptedException {
        return new Proxy(config, false);
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    InetSocketAddress controlAddress() {
        return operations.address();
    }

    public InetSocketAddress peerAddress() {
        return peers.address();
    }

    /** Runs a task on the loop after so long; for tests that wait on the proxy's own clock. */
    public void runAfter(double ms, Runnable task) {
        loop.execute(() -> core.after(ms, task));
    }

    /** Whether the module holds nothing against a server. */
    public boolean isHealthy(int server) {
        return loop.submit(() -> dispatcher.sound(server)).syncUninterruptibly().getNow();
    }

    /** Connections of clients that the loop knows of. */
    public int clientCount() {
        return loop.submit(listener::connectionCount).syncUninterruptibly().getNow();
    }

    /** Has an accept fail as the system would; for tests. */
    public void simulateAcceptFailure(IOException as) {
        listener.channel().pipeline().fireExceptionCaught(as);
    }

    /** What was stopped and violated so far, in a line. */
    public String invariantSummary() {
        return loop.submit(core.invariants::summary).syncUninterruptibly().getNow();
    }

    public int pendingRequests() {
        return loop.submit(dispatcher::inHand).syncUninterruptibly().getNow();
    }

    // ---- the end

    public void drain() {
        new GracefulShutdown(loop, core, 0, this::drained).run(() -> {
            if (core.events.isEnabled()) {
                core.events
                        .line(ProxyEvent.STATE_CHANGED)
                        .with("state", "draining")
                        .with("in_hand", dispatcher.inHand())
                        .write();
            }
            lifecycle.beginShutdown(core.now(), operations != null && operations.hasSuccessor());
            double longest = config.settings().classes().stream()
                    .mapToDouble(ServiceClass::deadlineMs)
                    .max()
                    .orElse(0);
            double lastMs = Math.max(LifecycleTiming.DEFAULT.extraListenMs(), LifecycleTiming.DEFAULT.shutdownDrainMs())
                    + Math.min(longest, LONGEST_LEFT_MS);
            core.after(lastMs, () -> {
                listener.stopTakingRequests();
                dispatcher.answerAll();
            });
            return lastMs;
        });
        if (operations != null) {
            loop.submit(operations::close).syncUninterruptibly();
        }
        core.events.close();
    }

    private boolean drained() {
        double now = core.now();
        listener.setAcceptsClients(lifecycle.acceptsClients());
        if (!lifecycle.acceptsConnections(now)) {
            listener.stopListening();
        }
        listener.closeIdle(lifecycle.closingFraction(now));
        return !lifecycle.acceptsConnections(now) && listener.isEmpty();
    }

    /** Ends at once; for tests. */
    public void close() {
        if (operations != null) {
            loop.submit(operations::close).syncUninterruptibly();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
