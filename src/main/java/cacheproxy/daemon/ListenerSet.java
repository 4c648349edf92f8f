package cacheproxy.daemon;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.lifecycle.LifecycleTiming;
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
 * clients once the endpoint lists have arrived, and one that is no longer configured is drained. On the event loop
 * only, except for {@link #reserve} and {@link #awaitAccepting}.
 */
final class ListenerSet {
    /** Longest wait for the pools' endpoint lists before clients are accepted without them. */
    private static final double MAX_LIST_WAIT_MS = 3000;

    private static final double LIST_POLL_MS = 5;
    /** Time from the removal of a listener to the end of reading from clients that always have a request pending. */
    private static final double REMOVED_READ_MS = LifecycleTiming.DEFAULT.standbyReadMs();

    private final EventLoopContext core;
    private final ClientRegistry clients;
    private final Router router;
    private final StandardProtocols protocols;
    private final BooleanSupplier mayAcceptConnections;
    private final Map<String, Listener> byName = new LinkedHashMap<>();
    /** The configured addresses, in which port 0 means that the system chooses the port. */
    private final Map<Listener, InetSocketAddress> configuredAddresses = new HashMap<>();

    private final List<Listener> draining = new ArrayList<>();
    private final CountDownLatch accepting = new CountDownLatch(1);
    /** Why listeners of the first configuration can't accept clients; complete once {@link #accepting} is open. */
    private final List<String> startFailures = new ArrayList<>();

    /**
     * Creates a set without listeners.
     *
     * @param mayAcceptConnections called before listeners accept clients; returns false if the process is about to end
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
     * Reserves the addresses that a configuration adds. Must not be called on the event loop.
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

    /**
     * Accepts clients once every pool has its endpoint list: a proxy that does not know its servers yet could only
     * reject requests.
     */
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
                    bindFailed("listener at " + Addresses.text(listener.address()) + " can't accept clients: "
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

    private void bindFailed(String reason) {
        if (accepting.getCount() > 0) {
            startFailures.add(reason);
        } else {
            core.log(reason);
        }
    }

    /**
     * Waits until the listeners of the first configuration accept clients. Must not be called on the event loop.
     *
     * @throws ConfigException with a line for each listener that can't
     */
    void awaitAccepting() throws ConfigException, InterruptedException {
        accepting.await();
        if (!startFailures.isEmpty()) {
            throw ConfigException.of(startFailures);
        }
    }

    /** Returns the listeners' addresses by name, in the order of the configuration file. */
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
            core.after(REMOVED_READ_MS, listener::rejectRequests);
        }
    }

    /** Drains all listeners. Returns whether all their connections are closed. */
    boolean drainAll() {
        List.copyOf(byName.keySet()).forEach(name -> drain(byName.remove(name)));
        removeDrained();
        return draining.isEmpty();
    }

    /** Reads no further requests on any connection, and rejects those that have been read and not submitted. */
    void concludeConnections() {
        byName.values().forEach(Listener::concludeConnections);
        draining.forEach(Listener::concludeConnections);
    }

    /** Removes drained listeners that have no open connection. */
    void removeDrained() {
        draining.removeIf(listener -> {
            listener.drain();
            return listener.isEmpty();
        });
    }
}
