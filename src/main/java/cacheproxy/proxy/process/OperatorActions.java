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
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.Channel;
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

/**
 * What operators do with a running proxy: ask it whether it takes clients, send them away and call them back, and start
 * its next version beside it. Loaded only where a control address is configured.
 */
final class OperatorActions {
    /** Descriptors that the door and a successor's line need. */
    static final int MAX_DESCRIPTORS = ControlServer.MAX_CONNECTIONS + 4;
    /** A process with part of a core may be halted for some time; a new one has 6 s in all. */
    private static final long TAKE_MS = 1500;

    private static final long LOOK_MS = 20;

    private final EventLoop loop;
    private final EventLoopContext core;
    private final Lifecycle lifecycle;
    private final Listener listener;
    private final ControlServer door;
    private Handover handover;
    private Future<?> looking;

    private OperatorActions(
            EventLoop loop, EventLoopContext core, Lifecycle lifecycle, Listener listener, BooleanSupplier reload) {
        this.loop = loop;
        this.core = core;
        this.lifecycle = lifecycle;
        this.listener = listener;
        door = new ControlServer(
                loop,
                Transport.BEST.server(),
                new ControlEndpoints(
                        () -> lifecycle.state() == LifecycleState.ACTIVE,
                        () -> lifecycle.state().statusText(),
                        this::standby,
                        this::active,
                        new DiagnosticEndpoints(core.invariants::summary, core.events::setEnabled, reload)));
    }

    /**
     * Takes clients, from a running process at the same address if there is one, and then calls of operators.
     *
     * @param folder one that this process shares with its next version
     * @param reload has the configuration read again; false where there is none
     */
    static OperatorActions start(
            EventLoop loop,
            EventLoopContext core,
            Lifecycle lifecycle,
            Listener listener,
            InetSocketAddress listen,
            InetSocketAddress control,
            Path folder,
            BooleanSupplier reload)
            throws InterruptedException {
        OperatorActions o = new OperatorActions(loop, core, lifecycle, listener, reload);
        Path path = HandoverPath.of(folder, listen.getPort());
        Optional<InheritedSocket> inherited =
                Epoll.isAvailable() ? HandoverReceiver.receive(loop, path, TAKE_MS) : Optional.empty();
        if (inherited.isPresent()) {
            listener.adopt(inherited.get().descriptor()).sync();
        } else {
            listener.bind(listen, true).sync();
        }
        if (listener.descriptor() >= 0) {
            try {
                Channel predecessor =
                        inherited.map(InheritedSocket::predecessor).orElse(null);
                o.handover = Handover.offer(loop, path, listener.descriptor(), predecessor);
            } catch (IOException | RuntimeException e) {
                core.log("a next version will have a queue of its own: " + e.getMessage());
            }
        }
        try {
            o.door.bind(control).sync();
        } catch (Exception e) {
            throw new IllegalStateException("control " + control + ": " + e.getMessage(), e);
        }
        return o;
    }

    /**
     * Whether a process that this one is to follow seems to serve. One that was killed may have left its path behind;
     * then this one starts with more care than it needs.
     */
    static boolean predecessorSeemsToRun(InetSocketAddress listen, Path folder) {
        return Files.exists(HandoverPath.of(folder, listen.getPort()));
    }

    InetSocketAddress address() {
        return door.address();
    }

    boolean hasSuccessor() {
        return handover != null && handover.hasSuccessor();
    }

    private boolean standby() {
        boolean yes = lifecycle.enterStandby(core.now());
        if (yes && looking == null) {
            looking = loop.scheduleWithFixedDelay(this::look, 0, LOOK_MS, TimeUnit.MILLISECONDS);
        }
        return yes;
    }

    private boolean active() {
        boolean yes = lifecycle.leaveStandby();
        look();
        return yes;
    }

    private void look() {
        listener.setAcceptsClients(lifecycle.acceptsClients());
        listener.closeIdle(lifecycle.closingFraction(core.now()));
        if (lifecycle.state() != LifecycleState.STANDBY && looking != null) {
            looking.cancel(false);
            looking = null;
        }
    }

    /** The process ends: no further call is taken, and the next version asks somebody else. */
    void close() {
        door.close();
        if (handover != null) {
            handover.close();
        }
    }
}
