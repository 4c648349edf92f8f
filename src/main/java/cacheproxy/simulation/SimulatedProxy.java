package cacheproxy.simulation;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.PolicyApi;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingRequest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One proxy: the real module, with sockets that are the fleet's figures. Killed, it says nothing more. */
final class SimulatedProxy implements PolicyActions {
    /** One way, in milliseconds. */
    private static final double NEAR_MS = 0.2;

    private static final double FAR_MS = 2;
    /** How long a client waits for one try. */
    static final double TRY_MS = 650;

    /** A client's request: its key, and how often it has been tried before. */
    record Ask(long key, boolean write, int tries) {}

    /** Where an attempt is, and whether it is still out. */
    private static final class Out {
        final int server;
        final double sentAt;
        boolean ended;

        Out(int server, double sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }
    }

    /** A request in hand. */
    private static final class Held {
        final Ask ask;
        final List<Out> outs = new ArrayList<>();
        SimulatedServer missedAt;
        int ran;
        boolean answered;

        Held(Ask ask) {
            this.ask = ask;
        }
    }

    private final FleetSimulation fleet;
    private final PolicySettings settings;
    private final PolicyApi module;
    private final Map<Integer, Held> held = new HashMap<>();
    private final Map<Integer, Double> bornAsTold = new HashMap<>();
    private boolean dead;

    SimulatedProxy(FleetSimulation fleet, PolicySettings settings, PolicyApi module) {
        this.fleet = fleet;
        this.settings = settings;
        this.module = module;
    }

    boolean dead() {
        return dead;
    }

    void kill() {
        dead = true;
    }

    int unanswered() {
        return dead ? 0 : (int) held.values().stream().filter(h -> !h.answered).count();
    }

    void list(EndpointListKind kind, Collection<SimulatedServer> nodes) {
        if (dead) {
            return;
        }
        List<Endpoint> members = new ArrayList<>();
        for (SimulatedServer n : nodes) {
            bornAsTold.put(n.id, n.bornMs());
            members.add(FleetSimulation.member(n));
        }
        if (kind == EndpointListKind.CACHED) {
            members.add(new Endpoint(SimulatedOrigin.ID, 0, 1, 0, EndpointState.READY, 1, 0));
        }
        decide(() -> module.onEndpointList(now(), kind, members, this));
    }

    void take(int id, Ask a) {
        Held h = new Held(a);
        held.put(id, h);
        fleet.clock.after(
                TRY_MS,
                () -> { // the sockets' own end of what is still out
                    for (int i = 0; i < h.outs.size(); i++) {
                        end(id, i, AttemptOutcome.TIMEOUT);
                    }
                });
        fleet.clock.after(TRY_MS + 1, () -> {
            if (h.answered) {
                held.remove(id);
            }
        });
        decide(() -> module.onRequest(
                now(),
                new RoutingRequest(
                        id,
                        a.write() ? FleetSimulationConfig.WRITE : FleetSimulationConfig.READ,
                        0,
                        a.key(),
                        now() + TRY_MS,
                        Double.NaN,
                        0,
                        a.write(),
                        a.tries() > 0),
                this));
    }

    @Override
    public void sendAttempt(int request, int server, double timeoutMs) {
        Held h = held.get(request);
        int attempt = h.outs.size();
        boolean copy = h.outs.stream().anyMatch(o -> !o.ended);
        h.outs.add(new Out(server, now()));
        SimulatedServer n = fleet.nodes.get(server);
        boolean near = settings.zone() == (n == null ? 0 : n.zone);
        fleet.count(near, copy);
        double way = near ? NEAR_MS : FAR_MS;
        if (timeoutMs > 0) {
            fleet.clock.after(timeoutMs, () -> end(request, attempt, AttemptOutcome.TIMEOUT));
        }
        fleet.clock.after(way, () -> {
            if (n == null) {
                origin(request, attempt, h, way);
            } else {
                arrive(request, attempt, h, n, way);
            }
        });
    }

    private void arrive(int request, int attempt, Held h, SimulatedServer n, double way) {
        if (n.isCold(now())) {
            n.sentCold(now(), bornAsTold.get(n.id) == n.bornMs());
        }
        if (n.ended || n.silent) {
            fleet.dead();
            later(n.silent ? settings.connectTimeoutMs() : way, request, attempt, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        SimulatedServer.Taken taken = n.take(now(), h.ask.key(), 0.5 + fleet.random.nextDouble());
        if (taken == null) {
            fleet.full();
            later(way, request, attempt, AttemptOutcome.FULL);
            return;
        }
        if (!taken.hit()) {
            h.missedAt = n;
        }
        later(taken.atMs() - now() + way, request, attempt, taken.hit() ? AttemptOutcome.OK : AttemptOutcome.MISS);
    }

    private void origin(int request, int attempt, Held h, double way) {
        double done = fleet.origin(h.ask.write());
        if (Double.isNaN(done)) {
            later(way, request, attempt, AttemptOutcome.FULL);
            return;
        }
        if (h.ask.write()) {
            fleet.ran(++h.ran);
        }
        fleet.clock.after(done - now(), () -> {
            if (h.missedAt != null) {
                h.missedAt.keep(h.ask.key());
            }
            later(way, request, attempt, AttemptOutcome.OK);
        });
    }

    private void later(double ms, int request, int attempt, AttemptOutcome outcome) {
        fleet.clock.after(ms, () -> end(request, attempt, outcome));
    }

    private void end(int request, int attempt, AttemptOutcome outcome) {
        Held h = held.get(request);
        if (dead || h == null || h.outs.get(attempt).ended) {
            return;
        }
        Out o = h.outs.get(attempt);
        o.ended = true;
        if (outcome == AttemptOutcome.OK && !h.answered) {
            h.answered = true;
            fleet.served();
        }
        decide(() -> module.onAttemptEnd(
                now(),
                new AttemptResult(request, attempt, o.server, outcome, now() - o.sentAt, h.answered, 0, null),
                this));
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        refused(request, true);
    }

    @Override
    public void fail(int request) {
        refused(request, false);
    }

    private void refused(int request, boolean harmless) {
        Held h = held.get(request);
        if (h != null && !h.answered) {
            h.answered = true;
            if (harmless || !h.ask.write()) {
                fleet.again(h.ask);
            }
        }
    }

    @Override
    public void cancelAttempt(int request, int attempt) {
        later(0, request, attempt, AttemptOutcome.CANCELLED);
    }

    @Override
    public void setTimer(double afterMs, int token) {
        fleet.clock.after(afterMs, () -> {
            if (!dead) {
                decide(() -> module.onTimer(now(), token, this));
            }
        });
    }

    /**
     * Nodes may not be probed here, connections aren't modelled, lists are pushed, and proxies say nothing to one
     * another.
     */
    @Override
    public void probeServer(int server) {}

    @Override
    public void closeIdleConnections(int server) {}

    @Override
    public void sendToPeer(int peer, byte[] message) {}

    @Override
    public void watchEndpointList(boolean on) {}

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String line) {}

    private double now() {
        return fleet.clock.now();
    }

    private void decide(Runnable event) {
        fleet.decided();
        event.run();
    }
}
