package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.lease.ServerReachability;
import cacheproxy.fleet.peer.PeerListRelation;
import cacheproxy.fleet.peer.PeerListTransition;
import cacheproxy.proxy.EventLoopContext;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Tells the others, one of them a second, by which list of peers this process goes and whether it reaches servers;
 * tells operators of those that go by another list. A process that reaches none where others do is not able to hold
 * duties.
 */
final class PeerListMonitor implements FleetProtocol {
    static final byte TOPIC = 4;
    private static final double EVERY_MS = 1000;
    /** Without a sound server for so long it reaches none; another's word that it does counts for so long. */
    private static final double OUT_MS = 3000;

    private static final double WORD_MS = 10_000;
    /** While a file is being taken up by all, they differ for some time. */
    private static final double TELL_AFTER_MS = 10_000;

    private final EventLoopContext core;
    private final PeerLink link;
    private final Supplier<ConfigSnapshot> generation;
    private final ServerReachability reach;
    private final PeerListTransition steps = new PeerListTransition();
    private final Map<Long, String> names = new LinkedHashMap<>();
    private final Map<Long, Double> differsSince = new LinkedHashMap<>();
    private final Set<Long> told = new HashSet<>();
    private List<Long> others = List.of();
    private int next;
    private double dueMs = Double.NEGATIVE_INFINITY;

    PeerListMonitor(EventLoopContext core, PeerLink link, Supplier<ConfigSnapshot> generation) {
        this.generation = generation;
        reach = new ServerReachability(core.now(), OUT_MS, WORD_MS);
        this.core = core;
        this.link = link;
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double now) {
        FleetConfig spec = file.part(FleetConfig.class);
        names.clear();
        spec.peers().forEach(p -> names.put(NameHash.of(p.name()), p.name()));
        others = new ArrayList<>(names.keySet());
        others.remove(link.ownId());
        steps.update(Set.copyOf(spec.names()), Set.copyOf(spec.namesBefore()), Set.copyOf(others));
        differsSince.clear();
        told.clear();
    }

    @Override
    public void receive(double now, long from, byte[] payload) {
        if (payload.length != PeerListTransition.MESSAGE_BYTES + 1) {
            return;
        }
        if (payload[PeerListTransition.MESSAGE_BYTES] == 1) {
            reach.there(now);
        }
        steps.receive(now, from, Arrays.copyOf(payload, PeerListTransition.MESSAGE_BYTES));
        if (steps.relationOf(from, now) != PeerListRelation.DIFFERENT) {
            differsSince.remove(from);
            told.remove(from);
        } else if (now - differsSince.computeIfAbsent(from, k -> now) > TELL_AFTER_MS && told.add(from)) {
            core.log("fleet: " + names.get(from)
                    + " goes by another list of peers, more than one step from this one's; duties may have two holders. "
                    + "Give all the same [[fleet.peer]]");
        }
    }

    @Override
    public double tick(double now) {
        if (now >= dueMs) {
            dueMs = now + EVERY_MS;
            ConfigSnapshot g = generation.get();
            boolean reaches = g == null || g.pools.values().stream().anyMatch(p -> p.dispatcher.reachesAny());
            if (reaches) {
                reach.here(now);
            }
            if (!others.isEmpty()) {
                byte[] message = Arrays.copyOf(steps.message(), PeerListTransition.MESSAGE_BYTES + 1);
                message[PeerListTransition.MESSAGE_BYTES] = (byte) (reaches ? 1 : 0);
                link.send(others.get(next++ % others.size()), this, message);
            }
        }
        return dueMs;
    }

    /** Whether it reaches servers, or nobody does. */
    boolean able(double now) {
        return reach.able(now);
    }

    @Override
    public void describe(JsonObject state) {
        JsonObject o = new JsonObject();
        others.forEach(
                p -> o.addProperty(names.get(p), steps.relationOf(p, core.now()).jsonName()));
        state.add("lists", o);
    }
}
