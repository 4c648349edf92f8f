package cacheproxy.daemon;

import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.UpstreamRegistry;
import java.util.function.Supplier;

/**
 * Detects restarts of the servers in the configuration file by their connections, as no endpoint list reports them. On
 * the event loop only.
 */
final class ServerRestartObserver implements UpstreamRegistry.Observer {
    private final EventLoopContext core;
    private final ServerStarts serverStarts;
    private final Subsystems subsystems;
    private final Supplier<ConfigSnapshot> configuration;

    ServerRestartObserver(
            EventLoopContext core,
            ServerStarts serverStarts,
            Subsystems subsystems,
            Supplier<ConfigSnapshot> configuration) {
        this.core = core;
        this.serverStarts = serverStarts;
        this.subsystems = subsystems;
        this.configuration = configuration;
    }

    @Override
    public void connectionRefused(int server) {
        serverStarts.times().connectionRefused(server);
    }

    @Override
    public void connectionAccepted(int server) {
        if (serverStarts.times().connectionAccepted(server, core.nowMs())) {
            subsystems.serverRestarted(server);
            // Not within the event of the connection itself: the new list retires connections to a server that has
            // restarted.
            core.loop().execute(() -> applyServerLists(server));
        }
    }

    private void applyServerLists(int server) {
        configuration.get().pools.values().stream()
                .filter(pool -> pool.config().discovery() == null && pool.hasServer(server))
                .forEach(PoolRuntime::applyServerList);
    }
}
