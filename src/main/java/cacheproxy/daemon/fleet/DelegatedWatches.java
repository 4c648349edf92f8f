package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.daemon.PoolRuntime;
import cacheproxy.discovery.DelegatedWatch;
import cacheproxy.discovery.DelegatedWatchActions;
import cacheproxy.discovery.DelegatedWatchTiming;
import cacheproxy.discovery.WatchVersionMessage;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.proxy.discovery.DiscoveryClient;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The watch of discovery that one proxy of a zone keeps for all proxies of the zone: carries out the decisions of
 * {@link DelegatedWatch} for each pool with discovery.
 */
final class DelegatedWatches implements FleetProtocol {
    static final byte TOPIC = 3;

    private final FleetContext context;
    private final SplittableRandom random;
    private final Map<String, DelegatedWatch> byPool = new HashMap<>();
    /** The same watches by the id of their lease, whose name contains the zone. */
    private final Map<Long, DelegatedWatch> byLease = new HashMap<>();

    private List<Long> otherPeersOfZone = List.of();

    DelegatedWatches(FleetContext context, SplittableRandom random) {
        this.context = context;
        this.random = random;
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double nowMs) {
        FleetConfig config = file.section(FleetConfig.class);
        Set<String> wanted = new HashSet<>(config.delegatedWatch() == null ? List.of() : LeaseSpec.watchedPools(file));
        removeUnwanted(config, wanted);
        byLease.clear();
        for (String pool : wanted) {
            addOrUpdate(config, pool);
        }
        otherPeersOfZone = config.peerNames(config.zone()).stream()
                .map(NameHash::of)
                .filter(id -> id != context.link().ownId())
                .toList();
    }

    /** Removes watches whose pool is no longer configured, or whose lease has changed with the zone. */
    private void removeUnwanted(FleetConfig config, Set<String> wanted) {
        for (String pool : List.copyOf(byPool.keySet())) {
            if (!wanted.contains(pool) || !byLease.containsKey(NameHash.of(config.watchLease(pool)))) {
                byPool.remove(pool);
                discoveryOf(pool).ifPresent(client -> client.setLongPolling(true));
            }
        }
    }

    private void addOrUpdate(FleetConfig config, String pool) {
        DelegatedWatchTiming timing = new DelegatedWatchTiming(
                config.delegatedWatch().heartbeatMs(),
                config.delegatedWatch().heartbeatTtlMs(),
                config.delegatedWatch().followerPollMs(),
                config.delegatedWatch().pollSpreadMs());
        String lease = config.watchLease(pool);
        DelegatedWatch watch = byPool.computeIfAbsent(
                pool,
                newPool -> new DelegatedWatch(
                        context.link().lease(lease), timing, random.split(), new WatchOutbox(newPool)));
        watch.updateTiming(timing);
        byLease.put(NameHash.of(lease), watch);
    }

    /** Returns whether this proxy itself long-polls discovery for a pool. */
    boolean shouldLongPoll(String pool) {
        DelegatedWatch watch = byPool.get(pool);
        return watch == null || watch.shouldLongPoll(context.nowMs());
    }

    /** Records that a pool has received an endpoint list. */
    void listReceived(String pool, long version) {
        DelegatedWatch watch = byPool.get(pool);
        if (watch != null) {
            watch.listVersionChanged(context.nowMs(), version);
        }
    }

    @Override
    public void receive(double nowMs, long from, byte[] payload) {
        WatchVersionMessage message = WatchVersionMessage.decode(payload);
        DelegatedWatch watch = message == null ? null : byLease.get(message.leaseId());
        if (watch != null) {
            watch.received(nowMs, from, message);
        }
    }

    @Override
    public double tick(double nowMs) {
        double nextMs = Double.POSITIVE_INFINITY;
        for (DelegatedWatch watch : byPool.values()) {
            nextMs = Math.min(nextMs, watch.tick(nowMs));
        }
        return nextMs;
    }

    @Override
    public void describe(JsonObject state) {
        JsonObject watches = new JsonObject();
        byPool.forEach((pool, watch) -> {
            JsonObject json = new JsonObject();
            json.addProperty("closely", watch.shouldLongPoll(context.nowMs()));
            json.addProperty("version", watch.version());
            watches.add(pool, json);
        });
        state.add("watches", watches);
    }

    private Optional<DiscoveryClient> discoveryOf(String pool) {
        return context.pool(pool).map(PoolRuntime::discovery);
    }

    private final class WatchOutbox implements DelegatedWatchActions {
        private final String pool;

        WatchOutbox(String pool) {
            this.pool = pool;
        }

        @Override
        public void send(WatchVersionMessage message) {
            byte[] payload = message.encode();
            otherPeersOfZone.forEach(to -> context.link().send(to, DelegatedWatches.this, payload));
        }

        @Override
        public void send(long to, WatchVersionMessage message) {
            context.link().send(to, DelegatedWatches.this, message.encode());
        }

        @Override
        public void setLongPolling(boolean enabled) {
            discoveryOf(pool).ifPresent(client -> client.setLongPolling(enabled));
        }

        @Override
        public void pollOnce() {
            discoveryOf(pool).ifPresent(DiscoveryClient::pollNow);
        }
    }
}
