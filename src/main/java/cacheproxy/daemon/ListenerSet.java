package cacheproxy.daemon;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.proxy.client.ClientRegistry;
import cacheproxy.proxy.client.Listener;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

/**
 * The daemon's listeners. Addresses of a new configuration are reserved before it is committed; a listener accepts
 * clients once the endpoint lists have arrived, and one that is no longer configured drains. On the event loop, but for
 * {@link #reserve}.
 */
final class ListenerSet {
    /** Clients are accepted once every pool has its endpoint list, or after this time without it. */
    private static final double MAX_LIST_WAIT_MS = 3000;

    private static final double LIST_POLL_MS = 5;

    private final EventLoopContext core;
    private final ClientRegistry clients;
    private final Router router;
    private final StandardProtocols protocols;
    private final BooleanSupplier mayAcceptConnections;
    private final Map<String, Listener> byName = new LinkedHashMap<>();
    /** The configured addresses, of which port 0 leaves the choice to the system. */
    private final Map<Listener, InetSocketAddress> configuredAddresses = new HashMap<>();

    private final List<Listener> draining = new ArrayList<>();
    private final CountDownLatch accepting = new CountDownLatch(1);

    /**
     * No listener yet.
     *
     * @param mayAcceptConnections asked before listeners accept clients; false if the process is about to end
     */
    ListenerSet(
            EventLoopContext core,
            ClientRegistry clients,
            Router router,
            StandardProtocols protocols,
            BooleanSupplier mayAcceptConnections) {
        this.core = core;
        this.clients = clients;
        this.router = router;
        this.protocols = protocols;
        this.mayAcceptConnections = mayAcceptConnections;
    }

    /**
     * Reserves the addresses that a configuration adds; not on the event loop.
     *
     * @return the new listeners by name, to be {@linkplain #commit committed} or closed
     * @throws ConfigException with a line for each address that can't be bound
     */
    Map<String, Listener> reserve(DaemonConfig file) throws ConfigException, InterruptedException {
        Map<String, Listener> reserved = new HashMap<>();
        List<String> faults = new ArrayList<>();
        for (ListenerConfig config : file.listeners()) {
            boolean unchanged = core.loop()
                    .submit(() -> config.address().equals(configuredAddresses.get(byName.get(config.name()))))
                    .sync()
                    .getNow();
            if (unchanged) {
                continue;
            }
            Listener listener =
                    new Listener(core, clients, router.handlerFor(config.name()), protocols.protocolOf(file, config));
            reserved.put(config.name(), listener);
            try {
                listener.reserve(config.address());
            } catch (IOException e) {
                faults.add(SocketBinder.describeFailure(file, "listener " + config.name(), config.address(), e));
            }
        }
        if (!faults.isEmpty()) {
            reserved.values().forEach(Listener::close);
            throw ConfigException.of(faults);
        }
        return reserved;
    }

    /** Puts the reserved listeners in place and drains those that are replaced or no longer configured. */
    void commit(DaemonConfig file, Map<String, Listener> reserved) {
        Set<String> configured = new HashSet<>();
        for (ListenerConfig config : file.listeners()) {
            configured.add(config.name());
            Listener listener = reserved.get(config.name());
            if (listener == null) {
                byName.get(config.name())
                        .reconfigure(router.handlerFor(config.name()), protocols.protocolOf(file, config));
                continue;
            }
            drain(byName.put(config.name(), listener));
            configuredAddresses.put(listener, config.address());
        }
        acceptOnceListed(List.copyOf(reserved.values()), core.nowMs() + MAX_LIST_WAIT_MS);
        for (String name : List.copyOf(byName.keySet())) {
            if (!configured.contains(name)) {
                drain(byName.remove(name));
            }
        }
    }

    /** A proxy that does not know its servers yet could only reject requests. */
    private void acceptOnceListed(List<Listener> listeners, double latestMs) {
        if (core.nowMs() < latestMs && !router.configuration().allPoolsListed()) {
            core.after(LIST_POLL_MS, () -> acceptOnceListed(listeners, latestMs));
            return;
        }
        if (!mayAcceptConnections.getAsBoolean()) {
            return;
        }
        int[] pending = {listeners.size()};
        for (Listener listener : listeners) {
            listener.listen().addListener(bound -> {
                if (!bound.isSuccess()) { // another process has bound the address since it was reserved
                    core.log("listener at " + Addresses.text(listener.address()) + " can't accept clients: "
                            + bound.cause().getMessage());
                }
                if (--pending[0] == 0) {
                    accepting.countDown();
                }
            });
        }
        if (listeners.isEmpty()) {
            accepting.countDown();
        }
    }

    /** Waits until the listeners of the first configuration accept clients; not on the event loop. */
    void awaitAccepting() throws InterruptedException {
        accepting.await();
    }

    /** The addresses by the listeners' names, in the file's order. */
    Map<String, InetSocketAddress> addresses() {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        byName.forEach((name, listener) -> addresses.put(name, listener.address()));
        return addresses;
    }

    private void drain(Listener listener) {
        if (listener != null) {
            configuredAddresses.remove(listener);
            draining.add(listener);
            listener.drain();
        }
    }

    /** Drains all listeners; returns whether none has a connection left. */
    boolean drainAll() {
        List.copyOf(byName.keySet()).forEach(name -> drain(byName.remove(name)));
        removeDrained();
        return draining.isEmpty();
    }

    /** Forgets listeners that have no connection left. */
    void removeDrained() {
        draining.removeIf(listener -> {
            listener.drain();
            return listener.isEmpty();
        });
    }
}
