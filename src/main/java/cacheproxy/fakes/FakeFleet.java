package cacheproxy.fakes;

import cacheproxy.proxy.net.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs cache nodes, an origin and discovery on ephemeral ports of 127.0.0.1, on one shared thread. */
public final class FakeFleet implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    public final EffectLedger ledger = new EffectLedger();
    public final List<FakeCacheServer> nodes = new ArrayList<>();
    public final FakeOrigin origin;
    public final FakeDiscovery discovery;

    /**
     * Starts the fleet; discovery lists the nodes as already warm, under the names {@code s-00000001} and so on, and
     * the origin as {@code origin}.
     */
    public FakeFleet(int nodeCount) throws InterruptedException {
        origin = FakeOrigin.start(loop, ledger);
        discovery = FakeDiscovery.start(loop);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(FakeCacheServer.start(loop, ledger));
            discovery.put(nodeName(i), nodes.get(i).dial(), "node", "up", 0);
        }
        origin.setNodes(nodes);
        discovery.put("origin", origin.dial(), "origin", "up", 0);
    }

    public EventLoop loop() {
        return loop;
    }

    /** Returns the name of a node in discovery's list. */
    public static String nodeName(int node) {
        return "s-%08x".formatted(node + 1);
    }

    /** Kills a node and starts it again, empty; discovery publishes its new start time. */
    public void restart(int node) throws InterruptedException {
        nodes.get(node).kill();
        nodes.get(node).restart();
        discovery.put(nodeName(node), nodes.get(node).dial(), "node", "up", (double) System.currentTimeMillis());
    }

    @Override
    public void close() {
        nodes.forEach(FakeCacheServer::close);
        origin.close();
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
