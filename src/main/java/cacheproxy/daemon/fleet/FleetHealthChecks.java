package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.fleet.healthcheck.HealthCheckCoordinator;
import cacheproxy.fleet.healthcheck.HealthCheckCounts;
import cacheproxy.fleet.healthcheck.HealthCheckMessage;
import cacheproxy.fleet.healthcheck.HealthCheckOutbox;
import cacheproxy.fleet.healthcheck.HealthCheckTiming;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.policy.PolicyApi.Outcome;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.EventLoopContext;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Tests of servers that seem sick, by one proxy for all: carries what {@link HealthCheckCoordinator} decides between
 * pools and peers.
 */
final class FleetHealthChecks implements FleetProtocol {
    static final byte TOPIC = 2;
    /** A request that may be a trial is waited for so long: less than the desk waits for the trial's end. */
    private static final double BEGIN_MS = 1.5 * Dispatcher.PROBE_TIMEOUT_MS;

    private final EventLoopContext core;
    private final PeerLink link;
    private final Supplier<ConfigSnapshot> generation;
    private final long numbers;
    /** Pools that wait for word of a server. */
    private final Map<Integer, Set<Dispatcher>> waiting = new HashMap<>();
    /**
     * Where clients' requests are the trials: servers whose next attempt from here is one, with the time by which it is
     * to begin. What a module believes to be sick gets one request; what it believes to be sound is judged by what it
     * gets anyway.
     */
    private final Map<Integer, Double> armed = new HashMap<>();

    private boolean requests;
    /** Null while the file has none. */
    private HealthCheckCoordinator desk;

    /** @param numbers where its questions' numbers begin */
    FleetHealthChecks(EventLoopContext core, PeerLink link, Supplier<ConfigSnapshot> generation, long numbers) {
        this.core = core;
        this.link = link;
        this.generation = generation;
        this.numbers = numbers;
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double now) {
        FleetConfig spec = file.part(FleetConfig.class);
        if (spec.probe() == null) {
            close();
            return;
        }
        requests = spec.probe().requests();
        HealthCheckTiming rules = new HealthCheckTiming(
                Dispatcher.PROBE_TIMEOUT_MS,
                spec.probe().patienceMs(),
                spec.probe().reuseMs());
        List<LeaseHandle> shares = spec.probeDuties().stream().map(link::lease).toList();
        if (desk == null) {
            desk = new HealthCheckCoordinator(link.ownId(), numbers, rules, shares, new Out());
        } else {
            desk.update(rules, shares);
        }
    }

    /** Gives the tests that are waited for back to the pools: a server whose test has no end would stay out. */
    void close() {
        Map<Integer, Set<Dispatcher>> left = Map.copyOf(waiting);
        waiting.clear();
        armed.clear();
        desk = null;
        if (requests) {
            return; // its modules ask again with the next request
        }
        left.forEach((server, pools) -> pools.forEach(p -> p.probe(server, null)));
    }

    /** Takes over a test that a pool's module has ordered; false: there is nobody to ask. */
    boolean take(Dispatcher pool, int server) {
        if (desk == null || requests) {
            return false;
        }
        waiting.computeIfAbsent(server, k -> new HashSet<>()).add(pool);
        core.loop()
                .execute(
                        () -> { // the module is still giving its orders
                            if (desk != null) {
                                desk.request(core.now(), server);
                            }
                        });
        return true;
    }

    /**
     * Whether a client's request may be the trial of a server that seemed sick; if not, word of its holder is asked
     * for.
     */
    boolean mayTry(Dispatcher pool, int server) {
        if (desk == null || !requests) {
            return true;
        }
        if (!armed.containsKey(server)) {
            waiting.computeIfAbsent(server, k -> new HashSet<>()).add(pool);
            desk.request(core.now(), server);
        }
        // It stays armed until an attempt ends: by then the module has marked the trial as its own.
        return armed.containsKey(server);
    }

    /** The end of any attempt: where one is waited for, that is the trial's. */
    void attemptEnded(Dispatcher pool, int server, Outcome outcome) {
        if (armed.isEmpty()
                || outcome == Outcome.CANCELLED
                || outcome == Outcome.NOT_SENT
                || armed.remove(server) == null) {
            return;
        }
        boolean sound = outcome == Outcome.OK || outcome == Outcome.MISS;
        waiting.getOrDefault(server, Set.of()).remove(pool); // its module has seen it
        core.loop().execute(() -> {
            if (desk != null) {
                desk.finished(core.now(), server, sound);
            }
        });
    }

    @Override
    public void receive(double now, long from, byte[] payload) {
        HealthCheckMessage m = HealthCheckMessage.of(payload);
        if (desk != null && m != null) {
            desk.receive(now, from, m);
        }
    }

    @Override
    public double tick(double now) {
        if (desk == null) {
            return Double.POSITIVE_INFINITY;
        }
        // No request came for it: that says nothing of the server. Modules ask again with the next.
        armed.entrySet().removeIf(e -> {
            boolean over = now >= e.getValue();
            if (over) {
                waiting.remove(e.getKey());
                desk.abandon(e.getKey());
            }
            return over;
        });
        return desk.tick(now);
    }

    @Override
    public void describe(JsonObject state) {
        if (desk != null) {
            HealthCheckCounts c = desk.counts();
            JsonObject o = new JsonObject();
            o.addProperty("own", c.ownChecks());
            o.addProperty("for_others", c.checksForOthers());
            o.addProperty("by_word", c.reportedResults());
            o.addProperty("word_too_late", c.lateResults());
            o.addProperty("word_of_older_epochs", c.staleEpochResults());
            state.add("trials", o);
        }
    }

    private final class Out implements HealthCheckOutbox {
        @Override
        public void send(long to, HealthCheckMessage m) {
            link.send(to, FleetHealthChecks.this, m.bytes());
        }

        @Override
        public boolean start(int server) {
            Set<Dispatcher> asked = waiting.getOrDefault(server, Set.of());
            Dispatcher by = asked.stream()
                    .filter(d -> d.dial(server) != null)
                    .findFirst()
                    .orElseGet(() -> generation.get().pools.values().stream()
                            .map(p -> p.dispatcher)
                            .filter(d -> d.dial(server) != null)
                            .findFirst()
                            .orElse(null));
            if (by == null) {
                return false;
            }
            if (requests) {
                armed.put(server, core.now() + BEGIN_MS);
                return true;
            }
            by.probe(
                    server,
                    outcome -> core.loop().execute(() -> {
                        if (desk != null) {
                            desk.finished(core.now(), server, outcome == Outcome.OK);
                        }
                    }));
            return true;
        }

        @Override
        public void report(int server, boolean sound) {
            Set<Dispatcher> pools = waiting.remove(server);
            if (pools != null) {
                core.loop()
                        .execute(() -> pools.forEach(p -> p.probed(server, sound))); // a module may be asking just now
            }
        }
    }
}
