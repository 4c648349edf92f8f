package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.PoolRuntime;
import cacheproxy.discovery.DelegatedWatch;
import cacheproxy.discovery.DelegatedWatchActions;
import cacheproxy.discovery.DelegatedWatchTiming;
import cacheproxy.discovery.WatchVersionMessage;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.proxy.DiscoveryClient;
import cacheproxy.proxy.EventLoopContext;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Discovery watched by one proxy of a zone for all: carries what {@link DelegatedWatch} decides, for each pool that
 * follows a list.
 */
final class DelegatedWatches implements FleetProtocol {
    static final byte TOPIC = 3;

    private final EventLoopContext core;
    private final Link link;
    private final Supplier<ConfigSnapshot> generation;
    private final SplittableRandom random;
    /** By pool, and by the duty, whose name has the zone in it. */
    private final Map<String, DelegatedWatch> watches = new HashMap<>();

    private final Map<Long, DelegatedWatch> byDuty = new HashMap<>();
    private List<Long> zone = List.of();

    DelegatedWatches(EventLoopContext core, Link link, Supplier<ConfigSnapshot> generation, SplittableRandom random) {
        this.core = core;
        this.link = link;
        this.generation = generation;
        this.random = random;
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double now) {
        FleetConfig spec = file.section(FleetConfig.class);
        Set<String> wanted = new HashSet<>(spec.delegatedWatch() == null ? List.of() : FleetSubsystem.watched(file));
        for (String pool : List.copyOf(watches.keySet())) {
            if (!wanted.contains(pool) || !byDuty.containsKey(NameHash.of(spec.watchLease(pool)))) {
                watches.remove(pool);
                client(pool, c -> c.pace(true));
            }
        }
        byDuty.clear();
        for (String pool : wanted) {
            DelegatedWatchTiming rules = new DelegatedWatchTiming(
                    spec.delegatedWatch().heartbeatMs(),
                    spec.delegatedWatch().heartbeatTtlMs(),
                    spec.delegatedWatch().followerPollMs(),
                    spec.delegatedWatch().pollSpreadMs());
            String duty = spec.watchLease(pool);
            DelegatedWatch w = watches.computeIfAbsent(
                    pool, p -> new DelegatedWatch(link.tenure(duty), rules, random.split(), new Out(p)));
            w.updateTiming(rules);
            byDuty.put(NameHash.of(duty), w);
        }
        zone = spec.peerNames(spec.zone()).stream()
                .map(NameHash::of)
                .filter(id -> id != link.me())
                .toList();
    }

    /** How closely a pool's list is to be watched now. */
    boolean closely(String pool) {
        DelegatedWatch w = watches.get(pool);
        return w == null || w.shouldLongPoll(core.now());
    }

    void have(String pool, long version) {
        DelegatedWatch w = watches.get(pool);
        if (w != null) {
            w.listVersionChanged(core.now(), version);
        }
    }

    @Override
    public void heard(double now, long from, byte[] payload) {
        WatchVersionMessage word = WatchVersionMessage.decode(payload);
        DelegatedWatch w = word == null ? null : byDuty.get(word.leaseId());
        if (w != null) {
            w.received(now, from, word);
        }
    }

    @Override
    public double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (DelegatedWatch w : watches.values()) {
            next = Math.min(next, w.tick(now));
        }
        return next;
    }

    @Override
    public void tell(JsonObject state) {
        JsonObject all = new JsonObject();
        watches.forEach((pool, w) -> {
            JsonObject o = new JsonObject();
            o.addProperty("closely", w.shouldLongPoll(core.now()));
            o.addProperty("version", w.version());
            all.add(pool, o);
        });
        state.add("watches", all);
    }

    private void client(String pool, Consumer<DiscoveryClient> act) {
        ConfigSnapshot g = generation.get();
        PoolRuntime p = g == null ? null : g.pools.get(pool);
        if (p != null && p.discovery() != null) {
            act.accept(p.discovery());
        }
    }

    private final class Out implements DelegatedWatchActions {
        private final String pool;

        Out(String pool) {
            this.pool = pool;
        }

        @Override
        public void send(WatchVersionMessage w) {
            byte[] bytes = w.encode();
            zone.forEach(to -> link.send(to, DelegatedWatches.this, bytes));
        }

        @Override
        public void send(long to, WatchVersionMessage w) {
            link.send(to, DelegatedWatches.this, w.encode());
        }

        @Override
        public void setLongPolling(boolean on) {
            client(pool, c -> c.pace(on));
        }

        @Override
        public void pollOnce() {
            client(pool, DiscoveryClient::ask);
        }
    }
}
