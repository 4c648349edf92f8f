package damsonworks.daemon;

import com.google.gson.JsonObject;
import damsonworks.config.DaemonFile;
import damsonworks.config.FleetSection;
import damsonworks.lease.Ids;
import damsonworks.membership.SharedWatch;
import damsonworks.membership.WatchWord;
import damsonworks.proxy.Core;
import damsonworks.proxy.DiscoveryClient;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Discovery watched by one proxy of a zone for all: carries what {@link SharedWatch} decides, for each pool that follows a list. */
final class FleetWatches implements FleetUser {
    static final byte TOPIC = 3;

    private final Core core;
    private final Link link;
    private final Supplier<Generation> generation;
    private final SplittableRandom random;
    /** By pool, and by the duty, whose name has the zone in it. */
    private final Map<String, SharedWatch> watches = new HashMap<>();
    private final Map<Long, SharedWatch> byDuty = new HashMap<>();
    private List<Long> zone = List.of();

    FleetWatches(Core core, Link link, Supplier<Generation> generation, SplittableRandom random) {
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
    public void apply(DaemonFile file, double now) {
        FleetSection spec = file.part(FleetSection.class);
        Set<String> wanted = new HashSet<>(spec.watch() == null ? List.of() : FleetPart.watched(file));
        for (String pool : List.copyOf(watches.keySet())) {
            if (!wanted.contains(pool) || !byDuty.containsKey(Ids.of(spec.watchDuty(pool)))) {
                watches.remove(pool);
                client(pool, c -> c.pace(true));
            }
        }
        byDuty.clear();
        for (String pool : wanted) {
            SharedWatch.Rules rules = new SharedWatch.Rules(spec.watch().beatMs(), spec.watch().wordMs(), spec.watch().lazyMs(),
                    spec.watch().gatherMs());
            String duty = spec.watchDuty(pool);
            SharedWatch w = watches.computeIfAbsent(pool, p -> new SharedWatch(link.tenure(duty), rules, random.split(), new Out(p)));
            w.use(rules);
            byDuty.put(Ids.of(duty), w);
        }
        zone = spec.names(spec.zone()).stream().map(Ids::of).filter(id -> id != link.me()).toList();
    }

    /** How closely a pool's list is to be watched now. */
    boolean closely(String pool) {
        SharedWatch w = watches.get(pool);
        return w == null || w.closely(core.now());
    }

    void have(String pool, long version) {
        SharedWatch w = watches.get(pool);
        if (w != null) {
            w.have(core.now(), version);
        }
    }

    @Override
    public void heard(double now, long from, byte[] payload) {
        WatchWord word = WatchWord.of(payload);
        SharedWatch w = word == null ? null : byDuty.get(word.duty());
        if (w != null) {
            w.heard(now, from, word);
        }
    }

    @Override
    public double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (SharedWatch w : watches.values()) {
            next = Math.min(next, w.tick(now));
        }
        return next;
    }

    @Override
    public void tell(JsonObject state) {
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
        Generation g = generation.get();
        PoolRunner p = g == null ? null : g.pools.get(pool);
        if (p != null && p.discovery() != null) {
            act.accept(p.discovery());
        }
    }

    private final class Out implements SharedWatch.Out {
        private final String pool;

        Out(String pool) {
            this.pool = pool;
        }

        @Override
        public void tell(WatchWord w) {
            byte[] bytes = w.bytes();
            zone.forEach(to -> link.send(to, FleetWatches.this, bytes));
        }

        @Override
        public void tell(long to, WatchWord w) {
            link.send(to, FleetWatches.this, w.bytes());
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
