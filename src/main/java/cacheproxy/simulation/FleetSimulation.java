package cacheproxy.simulation;

import cacheproxy.placement.CarpPlacement;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicyApi;
import cacheproxy.policy.PolicySettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Many real modules on one virtual clock, before nodes, an origin and a discovery that they share. What is harmless in
 * one proxy and harmful in all shows in the sums, which no module sees. No sockets, no threads, no clock of the system;
 * the same plan gives the same figures. What is not modelled: connections, stalls, lost answers, load that swings.
 *
 * <p>Clients make up to three tries, each at a proxy of their choice. Keys follow r^-1.15 of 20,000, the middle of what
 * the first users have. Each proxy hears of a change at its own time, one in four late.
 */
public final class FleetSimulation {
    private static final double START_MS = 1e6;
    private static final double TROUBLE_MS = 4000;
    private static final double DRAIN_MS = 5000;
    private static final int NEW_ID = 100_000;
    private static final int KEYS = 20_000;
    private static final int TRIES = 3;
    private static final double WRITES = 1 / 40.0;
    private static final double HOT_SHARE = 0.25;
    /** Part of the keys that are kept at the start, where they are first looked for. */
    private static final double KEPT = 0.92;

    /** Makes the module of a proxy that starts. */
    public interface Modules {
        PolicyApi of(PolicySettings settings, long seed);
    }

    final VirtualClock clock = new VirtualClock(START_MS);
    final SplittableRandom random;
    /** All that ever were, by their ids. */
    final Map<Integer, SimulatedServer> nodes = new TreeMap<>();

    private final FleetSimulationConfig plan;
    private final Modules modules;
    private final SimulatedProxy[] proxies;
    private final SimulatedOrigin origin;
    private final double requestsPerMs;
    private int nextRequest;
    private long hotKey;
    private int asked;
    private int served;
    private int worstEffect;
    private int attempts;
    private int crossed;
    private int full;
    private int dead;
    private int copies;
    private int fetches;
    private long decisions;

    /** @param modules what decides at each proxy; the same is asked again when one is restarted */
    public FleetSimulation(FleetSimulationConfig plan, Modules modules) {
        this.plan = plan;
        this.modules = modules;
        random = new SplittableRandom(plan.seed());
        double speed = 0;
        for (int id = 1; id <= plan.nodes(); id++) {
            SimulatedServer n = new SimulatedServer(id, plan.zones(), 0, plan.settings(0));
            nodes.put(id, n);
            speed += n.speed;
        }
        requestsPerMs = plan.load() * speed / SimulatedServer.WORK_MS;
        origin = new SimulatedOrigin(requestsPerMs);
        fill();
        proxies = new SimulatedProxy[plan.proxies()];
        for (int p = 0; p < proxies.length; p++) {
            start(p);
        }
    }

    /** Plays the plan to its end. Once. */
    public FleetSimulationResult run() {
        clock.after(0, this::arrive);
        clock.after(TROUBLE_MS, this::trouble);
        clock.run();
        double worstCold = 0;
        int cold = 0;
        for (SimulatedServer n : nodes.values()) {
            worstCold = Math.max(worstCold, n.worstCold());
            cold += n.coldSends();
        }
        int unanswered = 0;
        for (SimulatedProxy p : proxies) {
            unanswered += p.unanswered();
        }
        return new FleetSimulationResult(
                asked,
                served,
                unanswered,
                worstCold,
                worstEffect,
                attempts,
                crossed,
                full,
                dead,
                copies,
                cold,
                fetches,
                decisions);
    }

    private void fill() {
        List<SimulatedServer> all = List.copyOf(nodes.values());
        CarpPlacement placement =
                new CarpPlacement(all.stream().map(FleetSimulation::member).toList());
        int[] top = new int[1];
        for (long key = 1000; key <= 1000 + KEYS; key++) {
            placement.rank(key, CarpHash.keyHash(key), 1, top);
            if (random.nextDouble() < KEPT) {
                all.get(top[0]).keep(key);
            }
        }
    }

    static Endpoint member(SimulatedServer n) {
        return new Endpoint(
                n.id, n.zone, 0, 0, n.draining ? EndpointState.DRAINING : EndpointState.READY, 1, n.bornMs());
    }

    private void start(int p) {
        PolicySettings settings = plan.settings(p);
        proxies[p] = new SimulatedProxy(this, settings, modules.of(settings, random.nextLong()));
        proxies[p].list(
                EndpointListKind.CACHED,
                nodes.values().stream().filter(n -> !n.ended).toList());
    }

    // ---- clients

    private void arrive() {
        asked++;
        ask(new SimulatedProxy.Ask(key(), random.nextDouble() < WRITES, 0));
        if (clock.now() < START_MS + plan.seconds() * 1000) {
            clock.after(-Math.log(1 - random.nextDouble()) / requestsPerMs, this::arrive);
        }
    }

    private long key() {
        if (hotKey != 0 && random.nextDouble() < HOT_SHARE) {
            return hotKey;
        }
        double u = random.nextDouble();
        return 1000 + (long) Math.pow((1 - u) * Math.pow(2.5, -0.15) + u * Math.pow(KEYS, -0.15), -1 / 0.15);
    }

    /** A front knows which proxies are up. */
    private void ask(SimulatedProxy.Ask a) {
        int first = random.nextInt(proxies.length);
        for (int i = 0; i < proxies.length; i++) {
            SimulatedProxy p = proxies[(first + i) % proxies.length];
            if (!p.dead()) {
                p.take(++nextRequest, a);
                return;
            }
        }
    }

    void again(SimulatedProxy.Ask a) {
        if (a.tries() < TRIES - 1) {
            clock.after(
                    10 + random.nextDouble() * 70,
                    () -> ask(new SimulatedProxy.Ask(a.key(), a.write(), a.tries() + 1)));
        }
    }

    // ---- what goes wrong

    private void trouble() {
        int size = plan.nodes();
        if (plan.troubles().contains(SimulatedFault.RELEASE)) {
            for (int wave = 0; wave < 2; wave++) {
                int from = 1 + wave * size * 3 / 10;
                clock.after(wave * 4000, () -> replace(from, from + size * 3 / 10));
            }
        }
        if (plan.troubles().contains(SimulatedFault.ZONE_LOST)) {
            List<SimulatedServer> lost = nodes.values().stream()
                    .filter(n -> n.id > size * 3 / 4 && n.id <= size)
                    .toList();
            lost.forEach(n -> n.silent = true);
            clock.after(5000, () -> {
                lost.forEach(n -> n.restart(clock.now()));
                tell(lost);
            });
        }
        boolean hot = plan.troubles().contains(SimulatedFault.HOT_KEY_AT_A_COLD_NODE);
        boolean killed = plan.troubles().contains(SimulatedFault.PROXIES_KILLED);
        if (killed) {
            for (int p = 0; p < proxies.length * 6 / 10; p++) {
                int me = p;
                proxies[p].kill();
                clock.after(1500 + random.nextDouble() * 500, () -> start(me));
            }
        }
        if (killed || hot) {
            replace(size * 6 / 10 + 1, size * 7 / 10);
        }
        if (hot) { // once all have been told, or as those that were killed come back
            clock.after(killed ? 1700 : 3500, () -> hotKey = keyOfAColdNode());
        }
    }

    private void replace(int from, int to) {
        List<SimulatedServer> changed = new ArrayList<>();
        for (int id = from; id < to; id++) {
            SimulatedServer n = new SimulatedServer(id + NEW_ID, plan.zones(), clock.now(), plan.settings(0));
            nodes.put(n.id, n);
            changed.add(n);
            SimulatedServer old = nodes.get(id);
            if (old != null) {
                old.draining = true;
                changed.add(old);
                clock.after(DRAIN_MS, () -> old.ended = true);
            }
        }
        tell(changed);
    }

    private void tell(Collection<SimulatedServer> changed) {
        for (int p = 0; p < proxies.length; p++) {
            int me = p;
            clock.after(
                    random.nextInt(4) == 0 ? 6000 : 700 + random.nextDouble() * 2400,
                    () -> proxies[me].list(EndpointListKind.CHANGES, changed));
        }
    }

    /**
     * A cold node's own, and low by a number that is the same at every proxy: who chose a cold node's keys by such a
     * number would send it this one from all proxies at once. 0 if no node is cold.
     */
    private long keyOfAColdNode() {
        List<Endpoint> members = new ArrayList<>();
        nodes.values().stream().filter(n -> !n.draining && !n.ended).forEach(n -> members.add(member(n)));
        if (members.stream().noneMatch(m -> m.startedMs() > 0)) {
            return 0;
        }
        CarpPlacement placement = new CarpPlacement(members);
        int[] top = new int[1];
        for (long key = 1_000_000; ; key++) {
            int hash = CarpHash.keyHash(key);
            placement.rank(key, hash, 1, top);
            Endpoint m = members.get(top[0]);
            if (m.startedMs() > 0 && lot(hash, CarpHash.memberHash(m.id())) < 0.01) {
                return key;
            }
        }
    }

    private static double lot(int keyHash, int memberHash) {
        int h = keyHash * 0x9E3779B1 + memberHash;
        h = (h ^ (h >>> 16)) * 0x85EBCA6B;
        h = (h ^ (h >>> 13)) * 0xC2B2AE35;
        return Integer.toUnsignedLong(h ^ (h >>> 16)) / 4294967296.0;
    }

    // ---- sums

    double origin(boolean write) {
        fetches += write ? 0 : 1;
        return origin.take(clock.now());
    }

    void count(boolean near, boolean copy) {
        attempts++;
        crossed += near ? 0 : 1;
        copies += copy ? 1 : 0;
    }

    void served() {
        served++;
    }

    void full() {
        full++;
    }

    void dead() {
        dead++;
    }

    void ran(int times) {
        worstEffect = Math.max(worstEffect, times);
    }

    void decided() {
        decisions++;
    }
}
