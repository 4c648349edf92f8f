package cacheproxy.faulttest;

import cacheproxy.fakes.EffectLedger;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeDiscovery;
import cacheproxy.fakes.FakeOrigin;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import cacheproxy.proxy.net.Transport;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The fake cache servers, origin and discovery of a run, on one event loop. If connections to servers go through the
 * relay, each proxy connects to different addresses for the same servers, so each proxy has its own discovery that
 * lists these addresses; with many proxies and servers each zone has one instead. Methods can be called from any
 * thread.
 */
final class FakeProcesses implements AutoCloseable {
    /** Limit on relay sockets that represent servers; where more would be needed, the proxies of a zone share them. */
    static final int MAX_RELAY_SOCKETS = 2000;

    /** The proxies that share one discovery. */
    private enum DiscoveryScope {
        PROXY,
        ZONE,
        FLEET;

        static DiscoveryScope of(Scenario scenario) {
            if (scenario.relayServers() && scenario.proxies() * scenario.servers() <= MAX_RELAY_SOCKETS) {
                return PROXY;
            }
            return scenario.relayServers() || scenario.discoveryByZone() ? ZONE : FLEET;
        }

        int count(Scenario scenario) {
            return switch (this) {
                case PROXY -> scenario.proxies();
                case ZONE -> scenario.zones().size();
                case FLEET -> 1;
            };
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final Scenario scenario;
    private final AddressSpace space;
    private final TcpRelay relay;
    private final TargetSelector endpoints;
    private final History history;
    private final EventLoopLag lag;
    private final EffectLedger ledger = new EffectLedger();
    private final List<FakeCacheServer> servers = new ArrayList<>();
    private final FakeOrigin origin;
    private final DiscoveryScope scope;
    private final List<FakeDiscovery> discoveries = new ArrayList<>();
    /** By discovery and server: the address under which the discovery lists the server. */
    private final List<String[]> listedAddresses = new ArrayList<>();

    FakeProcesses(Scenario scenario, AddressSpace space, TcpRelay relay, History history) throws InterruptedException {
        this.scenario = scenario;
        this.space = space;
        this.relay = relay;
        this.history = history;
        endpoints = scenario.targetSelector();
        scope = DiscoveryScope.of(scenario);
        lag = EventLoopLag.of(loop);
        ledger.setObserver(write -> history.add(lag.currentLagUs(), "origin", Event.WRITE_APPLIED, write, "", 0));
        origin = FakeOrigin.start(loop, ledger);
        for (int i = 0; i < scenario.servers(); i++) {
            servers.add(startServer(TargetSelector.serverName(i)));
        }
        origin.setNodes(servers);
        for (int i = 0; i < scope.count(scenario); i++) {
            discoveries.add(FakeDiscovery.start(loop));
            listedAddresses.add(serverAddressesFor(i));
        }
        for (int i = 0; i < scenario.servers(); i++) {
            listServer(i, "up", 0);
        }
        String originZone = scenario.zones().get(0);
        discoveries.forEach(discovery -> discovery.put("origin", origin.dial(), originZone, "origin", "up", 0));
        relayDiscovery();
    }

    private FakeCacheServer startServer(String name) throws InterruptedException {
        return FakeCacheServer.start(loop, ledger)
                .setServiceTimeMs(1000 / scenario.serverPerSecond())
                .queueCapacity(scenario.serverQueueLimit())
                .setObserver(id ->
                        history.add(lag.currentLagUs(), name, Event.COMMAND_ARRIVED, id == null ? "" : id, "", 0));
    }

    private String[] serverAddressesFor(int discovery) throws InterruptedException {
        String[] addresses = new String[servers.size()];
        for (int i = 0; i < addresses.length; i++) {
            FakeCacheServer server = servers.get(i);
            addresses[i] = server.dial();
            if (scenario.relayServers()) {
                int port = AddressSpace.FIRST_SERVER_PORT + i;
                InetSocketAddress address = scope == DiscoveryScope.PROXY
                        ? space.relayAddress(discovery, port)
                        : space.zoneRelayAddress(discovery, port);
                relay.listen(address, discovery, endpoints.proxies() + i, server::address);
                addresses[i] = AddressSpace.text(address);
            }
        }
        return addresses;
    }

    private void relayDiscovery() throws InterruptedException {
        for (int i = 0; i < scenario.proxies(); i++) {
            int proxy = i;
            relay.listen(
                    space.relayAddress(proxy, AddressSpace.DISCOVERY_PORT),
                    proxy,
                    endpoints.discoveryIndex(),
                    () -> address(discoveryOf(proxy).dial()));
        }
    }

    private FakeDiscovery discoveryOf(int proxy) {
        return discoveries.get(
                switch (scope) {
                    case PROXY -> proxy;
                    case ZONE -> endpoints.zoneOfProxy(proxy);
                    case FLEET -> 0;
                });
    }

    private static InetSocketAddress address(String hostAndPort) {
        int colon = hostAndPort.indexOf(':');
        return new InetSocketAddress(
                hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    private void listServer(int server, String health, double startedMs) {
        String zone = scenario.zones().get(endpoints.zoneOfServer(server));
        for (int i = 0; i < discoveries.size(); i++) {
            String address = listedAddresses.get(i)[server];
            discoveries.get(i).put("s-%08x".formatted(server + 1), address, zone, "node", health, startedMs);
        }
    }

    /** Stores all keys at each server, as after several hours of service. */
    void fillServerCaches(int keys) {
        for (int i = 0; i < keys; i++) {
            String key = OpenLoopWorkload.key(i);
            byte[] value = FakeOrigin.value(key).getBytes(StandardCharsets.ISO_8859_1);
            servers.forEach(server -> server.store(key, value));
        }
        loop.submit(() -> {}).syncUninterruptibly();
    }

    /** Makes a server send no responses for a time. */
    void stall(int server, double durationMs) {
        servers.get(server).stall(durationMs);
    }

    /** Kills a server. */
    void kill(int server) {
        history.add(0, TargetSelector.serverName(server), Event.SERVER_KILLED, "", "", 0);
        servers.get(server).kill();
    }

    /** Restarts a killed server at the same address with an empty cache; discovery lists its start time. */
    void restart(int server) throws IOException {
        try {
            servers.get(server).restart();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        history.add(0, TargetSelector.serverName(server), Event.SERVER_STARTED, "", "", 0);
        listServer(server, "up", (double) System.currentTimeMillis());
    }

    /** Lists a server as draining. */
    void beginDrain(int server) {
        // Proxies are notified during the call. The event can be recorded after the notification, but not before it.
        listServer(server, "draining", 0);
        history.add(0, TargetSelector.serverName(server), Event.SERVER_DRAINING, "", "", 0);
    }

    /** Lists a server as up again. */
    void endDrain(int server) {
        // Proxies are notified during the call. The event comes first, so that commands that they send after the
        // notification don't appear to go to a draining server.
        history.add(0, TargetSelector.serverName(server), Event.SERVER_UP, "", "", 0);
        listServer(server, "up", 0);
    }

    /** The current endpoint list, as the platform passes it to a proxy that starts. */
    JsonObject endpointList(int proxy) {
        return discoveryOf(proxy).fullList();
    }

    /** Number of calls that discovery received, including watches. */
    int discoveryCalls() {
        return discoveries.stream().mapToInt(FakeDiscovery::requestCount).sum();
    }

    /** Number of watches that wait at discovery for a change. */
    int waitingWatches() {
        return discoveries.stream().mapToInt(FakeDiscovery::pendingWatches).sum();
    }

    /** Number of health checks that servers received, which are no-op commands of proxies. */
    int healthChecks() {
        return servers.stream().mapToInt(FakeCacheServer::probes).sum();
    }

    /** The lag of the fakes' event loop. */
    EventLoopLag lag() {
        return lag;
    }

    @Override
    public void close() {
        servers.forEach(FakeCacheServer::close);
        origin.close();
        discoveries.forEach(FakeDiscovery::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
