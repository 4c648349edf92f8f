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
 * Nodes, origin and discovery of a run, on one thread. Where connections to nodes go through the relay, each proxy has
 * a view of discovery of its own, with the addresses that stand for the nodes there; with many proxies and nodes each
 * zone has one.
 */
final class FakeProcesses implements AutoCloseable {
    /** Sockets that stand for nodes; with more of them zones share theirs. */
    static final int MOST_FACES = 2000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final TargetSelector names;
    private final History history;
    private final EventLoopLag lag;
    private final EffectLedger ledger = new EffectLedger();
    private final List<FakeCacheServer> nodes = new ArrayList<>();
    private final FakeOrigin origin;
    private final List<FakeDiscovery> views = new ArrayList<>();
    /** By view and node: where the node is to be found. */
    private final List<String[]> dials = new ArrayList<>();

    private final boolean byProxy;
    private final boolean byZone;

    FakeProcesses(Scenario s, AddressSpace space, TcpRelay relay, EventLoop relayLoop, History history)
            throws InterruptedException {
        this.history = history;
        names = s.targetSelector();
        lag = EventLoopLag.of(loop);
        ledger.observe(mark -> history.add(lag.nowUs(), "origin", Event.WRITE_APPLIED, mark, "", 0));
        origin = FakeOrigin.start(loop, ledger);
        for (int i = 0; i < s.servers(); i++) {
            String name = TargetSelector.serverName(i);
            nodes.add(FakeCacheServer.start(loop, ledger)
                    .work(1000 / s.serverPerSecond())
                    .room(s.serverQueueLimit())
                    .observe(id -> history.add(lag.nowUs(), name, Event.COMMAND_ARRIVED, id == null ? "" : id, "", 0)));
        }
        origin.serves(nodes);
        byProxy = s.relayServers() && s.proxies() * s.servers() <= MOST_FACES;
        byZone = (s.relayServers() && !byProxy) || (s.discoveryByZone() && !byProxy);
        int count = byProxy ? s.proxies() : byZone ? s.zones().size() : 1;
        for (int v = 0; v < count; v++) {
            views.add(FakeDiscovery.start(loop));
            String[] dial = new String[s.servers()];
            dials.add(dial);
            for (int n = 0; n < s.servers(); n++) {
                dial[n] = nodes.get(n).dial();
                if (s.relayServers()) {
                    InetSocketAddress at =
                            byProxy ? space.face(v, AddressSpace.NODES + n) : space.zoneFace(v, AddressSpace.NODES + n);
                    FakeCacheServer node = nodes.get(n);
                    relay.face(at, v, names.proxies() + n, node::address);
                    dial[n] = AddressSpace.text(at);
                }
            }
        }
        for (int n = 0; n < s.servers(); n++) {
            put(n, "up", 0);
        }
        views.forEach(v -> v.put("origin", origin.dial(), s.zones().get(0), "origin", "up", 0));
        for (int p = 0; p < s.proxies(); p++) {
            int proxy = p;
            relay.face(
                    space.face(p, AddressSpace.DISCOVERY),
                    p,
                    names.discoveryIndex(),
                    () -> address(view(proxy).dial()));
        }
    }

    private FakeDiscovery view(int proxy) {
        return views.get(byProxy ? proxy : byZone ? names.zoneOfProxy(proxy) : 0);
    }

    private static InetSocketAddress address(String dial) {
        int colon = dial.indexOf(':');
        return new InetSocketAddress(dial.substring(0, colon), Integer.parseInt(dial.substring(colon + 1)));
    }

    private void put(int node, String health, double bornMs) {
        for (int v = 0; v < views.size(); v++) {
            views.get(v)
                    .put(
                            host(node),
                            dials.get(v)[node],
                            names.zones().get(names.zoneOfServer(node)),
                            "node",
                            health,
                            bornMs);
        }
    }

    private static String host(int node) {
        return "s-%08x".formatted(node + 1);
    }

    /** As after some hours: each node holds every key. */
    void warm(int keys) {
        for (int i = 0; i < keys; i++) {
            String key = OpenLoopWorkload.key(i);
            byte[] value = FakeOrigin.value(key).getBytes(StandardCharsets.ISO_8859_1);
            nodes.forEach(n -> n.store(key, value));
        }
        loop.submit(() -> {}).syncUninterruptibly();
    }

    void stall(int node, double ms) {
        nodes.get(node).stall(ms);
    }

    void kill(int node) {
        history.add(0, TargetSelector.serverName(node), Event.SERVER_KILLED, "", "", 0);
        nodes.get(node).kill();
    }

    /** Back at the same address, empty; discovery tells its start. */
    void revive(int node) throws IOException {
        try {
            nodes.get(node).revive();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        history.add(0, TargetSelector.serverName(node), Event.SERVER_STARTED, "", "", 0);
        put(node, "up", (double) System.currentTimeMillis());
    }

    void drain(int node, boolean on) {
        // Proxies are told within the call. That it drains may be noted later than they know, that it is up again not:
        // what they send
        // by that word would seem to go to a draining node.
        if (!on) {
            history.add(0, TargetSelector.serverName(node), Event.SERVER_UP, "", "", 0);
        }
        put(node, on ? "draining" : "up", 0);
        if (on) {
            history.add(0, TargetSelector.serverName(node), Event.SERVER_DRAINING, "", "", 0);
        }
    }

    /** The list as it is now, as the platform gives it to a proxy that starts. */
    JsonObject known(int proxy) {
        return view(proxy).whole();
    }

    /** Calls that discovery has had, watches among them. */
    int discoveryCalls() {
        return views.stream().mapToInt(FakeDiscovery::calls).sum();
    }

    /** Calls that wait there for a change. */
    int waitingAtDiscovery() {
        return views.stream().mapToInt(FakeDiscovery::waiting).sum();
    }

    /** Tests of nodes: empty commands of proxies. */
    int tests() {
        return nodes.stream().mapToInt(FakeCacheServer::tested).sum();
    }

    EventLoopLag lag() {
        return lag;
    }

    @Override
    public void close() {
        nodes.forEach(FakeCacheServer::close);
        origin.close();
        views.forEach(FakeDiscovery::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
