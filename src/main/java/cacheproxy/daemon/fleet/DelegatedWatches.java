package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.PoolRuntime;
import cacheproxy.discovery.DelegatedWatch;
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
    private final PeerLink link;
    private final Supplier<ConfigSnapshot> generation;
    private final SplittableRandom random;
    /** By pool, and by the duty, whose name has the zone in it. */
    private final Map<String, DelegatedWatch> watches = new HashMap<>();

    private final Map<Long, DelegatedWatch> byDuty = new HashMap<>();
    private List<Long> zone = List.of();

    DelegatedWatches(
            EventLoopContext core, PeerLink link, Supplier<ConfigSnapshot> generation, SplittableRandom random) {
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
        FleetConfig spec = file.part(FleetConfig.class);
        Set<String> wanted = new HashSet<>(spec.watch() == null ? List.of() : FleetSubsystem.watched(file));
        for (String pool : List.copyOf(watches.keySet())) {
            if (!wanted.contains(pool) || !byDuty.containsKey(NameHash.of(spec.watchDuty(pool)))) {
                watches.remove(pool);
                client(pool, c -> c.pace(true));
            }
        }
        byDuty.clear();
        for (String pool : wanted) {
            DelegatedWatch.Rules rules = new DelegatedWatch.Rules(
                    spec.watch().beatMs(),
                    spec.watch().wordMs(),
                    spec.watch().lazyMs(),
                    spec.watch().gatherMs());
            String duty = spec.watchDuty(pool);
            DelegatedWatch w = watches.computeIfAbsent(
                    pool, p -> new DelegatedWatch(link.lease(duty), rules, random.split(), new Out(p)));
            w.use(rules);
            byDuty.put(NameHash.of(duty), w);
        }
        zone = spec.names(spec.zone()).stream()
                .map(NameHash::of)
                .filter(id -> id != link.ownId())
                .toList();
    }

    /** How closely a pool's list is to be watched now. */
    boolean closely(String pool) {
        DelegatedWatch w = watches.get(pool);
        return w == null || w.closely(core.now());
    }

    void have(String pool, long version) {
        DelegatedWatch w = watches.get(pool);
        if (w != null) {
            w.have(core.now(), version);
        }
    }

    @Override
    public void receive(double now, long from, byte[] payload) {
        WatchVersionMessage word = WatchVersionMessage.of(payload);
        DelegatedWatch w = word == null ? null : byDuty.get(word.duty());
        if (w != null) {
            w.heard(now, from, word);
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
    public void describe(JsonObject state) {
        JsonObject all = new JsonObject();
        watches.forEach((pool, w) -> {
            JsonObject o = new JsonObject();
            o.addProperty("closely", w.closely(core.now()));
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

    private final class Out implements DelegatedWatch.Out {
        private final String pool;

        Out(String pool) {
            this.pool = pool;
        }

        @Override
        public void tell(WatchVersionMessage w) {
            byte[] bytes = w.bytes();
            zone.forEach(to -> link.send(to, DelegatedWatches.this, bytes));
        }

        @Override
        public void tell(long to, WatchVersionMessage w) {
            link.send(to, DelegatedWatches.this, w.bytes());
        }

        @Override
        public void closely(boolean on) {
            client(pool, c -> c.pace(on));
        }

        @Override
        public void ask() {
            client(pool, DiscoveryClient::ask);
        }
    }
}
