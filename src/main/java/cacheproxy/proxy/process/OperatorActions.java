package cacheproxy.proxy.process;

import cacheproxy.control.ControlEndpoints;
import cacheproxy.control.ControlServer;
import cacheproxy.control.DiagnosticEndpoints;
import cacheproxy.handover.Handover;
import cacheproxy.handover.HandoverPath;
import cacheproxy.handover.HandoverReceiver;
import cacheproxy.handover.InheritedSocket;
import cacheproxy.lifecycle.Lifecycle;
import cacheproxy.lifecycle.LifecycleState;
import cacheproxy.proxy.client.ClientRegistry;
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.client.ReservedAddress;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.Epoll;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The actions that operators can take on a running proxy: query whether it accepts clients, put it into standby and
 * back, reload its configuration, and start its next version beside it, which takes over the listening socket. This
 * class is loaded only if a control address is configured. Requests are handled on the event loop.
 */
final class OperatorActions {
    /** File descriptors of the control address and of the handover to a successor. */
    static final int MAX_DESCRIPTORS = ControlServer.MAX_CONNECTIONS + 4;
    /**
     * How long to wait for the listening socket of a predecessor, which may be halted for some time if it has only a
     * fraction of a core. A new process has 6 s for its whole start.
     */
    private static final long HANDOVER_TIMEOUT_MS = 1500;

    private static final long STANDBY_POLL_INTERVAL_MS = 20;

    private final EventLoop loop;
    private final EventLoopContext loopContext;
    private final Lifecycle lifecycle;
    private final Listener listener;
    private final ControlServer controlServer;
    /** Null if a successor can't get the listening socket. */
    private Handover handover;
    /** Null unless the proxy is in standby. */
    private Future<?> standbyPoll;

    private OperatorActions(
            EventLoopContext loopContext,
            Lifecycle lifecycle,
            ClientRegistry clients,
            Listener listener,
            Supplier<String> slowStart,
            BooleanSupplier reload) {
        loop = loopContext.loop();
        this.loopContext = loopContext;
        this.lifecycle = lifecycle;
        this.listener = listener;
        controlServer = new ControlServer(
                loop,
                Transport.BEST.server(),
                new ControlEndpoints(
                        () -> lifecycle.state() == LifecycleState.ACTIVE,
                        () -> lifecycle.state().statusText(),
                        this::enterStandby,
                        this::leaveStandby,
                        new DiagnosticEndpoints(
                                loopContext.invariants()::summary,
                                loopContext::memorySummary,
                                () -> loopContext.load().summary() + clients.summary(),
                                slowStart,
                                loopContext.events()::setEnabled,
                                reload)));
    }

    /**
     * Starts to accept clients, on the listening socket of a process that runs at the same address if there is one, and
     * then requests of operators. The control address is reserved first: a start that failed because of it after
     * clients had been accepted would cut their connections.
     *
     * @param slowStart returns the servers in their slow start, in several lines
     * @param reload starts a reload of the configuration; returns false if there is no file to read
     * @throws IllegalStateException if the control address can't be bound
     */
    static OperatorActions start(
            EventLoopContext loopContext,
            Lifecycle lifecycle,
            ClientRegistry clients,
            Listener listener,
            PlatformConfig config,
            Supplier<String> slowStart,
            BooleanSupplier reload)
            throws InterruptedException {
        OperatorActions actions = new OperatorActions(loopContext, lifecycle, clients, listener, slowStart, reload);
        InetSocketAddress control = config.control();
        try (ReservedAddress reserved = reserveControl(control)) {
            actions.listen(config);
            ChannelFuture bound = actions.controlServer.bind(reserved.address()).await();
            if (!bound.isSuccess()) {
                throw controlFailure(control, bound.cause());
            }
        }
        return actions;
    }

    private static ReservedAddress reserveControl(InetSocketAddress control) {
        try {
            return ReservedAddress.bind(control);
        } catch (IOException e) {
            throw controlFailure(control, e);
        }
    }

    private static IllegalStateException controlFailure(InetSocketAddress control, Throwable cause) {
        return new IllegalStateException("control " + control + ": " + cause.getMessage(), cause);
    }

    private void listen(PlatformConfig config) throws InterruptedException {
        Path path = handoverPath(config);
        Optional<InheritedSocket> inherited =
                Epoll.isAvailable() ? HandoverReceiver.receive(loop, path, HANDOVER_TIMEOUT_MS) : Optional.empty();
        if (inherited.isPresent()) {
            listener.adopt(inherited.get().descriptor()).sync();
        } else {
            listener.bind(config.listen(), true).sync();
        }
        if (listener.descriptor() >= 0) {
            offerHandover(path, inherited.map(InheritedSocket::predecessor).orElse(null));
        }
    }

    private void offerHandover(Path path, Channel predecessor) {
        try {
            handover = Handover.offer(loop, path, listener.descriptor(), predecessor);
        } catch (IOException | RuntimeException e) {
            loopContext.log("a next version will have a queue of its own: " + e.getMessage());
        }
    }

    private static Path handoverPath(PlatformConfig config) {
        return HandoverPath.of(Proxy.sharedFolder(), config.listen().getPort());
    }

    /**
     * Whether a predecessor of this process seems to be running. A process that was killed may have left its handover
     * path behind; this process then starts with more care than necessary.
     */
    static boolean predecessorSeemsToRun(PlatformConfig config) {
        return Files.exists(handoverPath(config));
    }

    /** The control address, with the port that the system chose for port 0. */
    InetSocketAddress address() {
        return controlServer.address();
    }

    /** Whether another process has taken over the listening socket. */
    boolean hasSuccessor() {
        return handover != null && handover.hasSuccessor();
    }

    private boolean enterStandby() {
        boolean entered = lifecycle.enterStandby(loopContext.nowMs());
        if (entered && standbyPoll == null) {
            standbyPoll = loop.scheduleWithFixedDelay(
                    this::applyLifecycle, 0, STANDBY_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return entered;
    }

    private boolean leaveStandby() {
        boolean left = lifecycle.leaveStandby();
        applyLifecycle();
        return left;
    }

    private void applyLifecycle() {
        double nowMs = loopContext.nowMs();
        listener.setAcceptsClients(lifecycle.acceptsClients());
        listener.closeIdle(lifecycle.closingFraction(nowMs));
        if (lifecycle.endsReading(nowMs)) {
            listener.rejectRequests();
        }
        if (lifecycle.state() != LifecycleState.STANDBY && standbyPoll != null) {
            standbyPoll.cancel(false);
            standbyPoll = null;
        }
    }

    /**
     * Called when the process ends: no further request is accepted, and a next version finds no socket to take over.
     */
    void close() {
        controlServer.close();
        if (handover != null) {
            handover.close();
        }
    }
}
