package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingPolicy;
import cacheproxy.policy.RoutingRequest;
import cacheproxy.policy.ServiceClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long random legal event sequences, every order checked against the rules and the wire's faults. */
class RandomRulesTest {
    @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
    private static PolicySettings settings(int n) {
        return Rig.settings((n & 1) == 0, (n & 2) != 0, (n & 4) != 0, DeduplicationScope.values()[n % 3]);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
    void everyOrderKeepsTheRules(int n) {
        World world = new World(settings(n), n);
        world.play(6000);
        assertThat(world.answered).isGreaterThan(200);
        assertThat(world.placed).isGreaterThan(500);
    }

    @Test
    void theSameEventsGiveTheSameOrders() {
        for (int n = 0; n < 8; n++) {
            World one = new World(settings(n), n);
            World two = new World(settings(n), n);
            one.play(1500);
            two.play(1500);
            assertThat(two.orders).isEqualTo(one.orders);
        }
    }

    /** What the world knows of a request: the rules are judged by this, not by the module's own books. */
    private static final class Held {
        RoutingRequest request;
        ServiceClass kind;
        boolean over;
        final List<Integer> servers = new ArrayList<>();
        final List<Double> sentAt = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();

        long out() {
            return outcomes.stream().filter(o -> o == null).count();
        }

        /** First attempt that may have run, or -1. */
        int maybeRan() {
            for (int a = 0; a < outcomes.size(); a++) {
                if (outcomes.get(a) == null || outcomes.get(a).mayHaveRun()) {
                    return a;
                }
            }
            return -1;
        }
    }

    private static final class World implements PolicyActions {
        final PolicySettings cfg;
        final Random random;
        final RoutingPolicy policy;
        final Map<Integer, Held> held = new HashMap<>();
        final List<Held> live = new ArrayList<>();
        final Map<Integer, Endpoint> list = new HashMap<>();
        final Set<Integer> everListed = new HashSet<>();
        final List<double[]> timers = new ArrayList<>();
        final List<String> orders = new ArrayList<>();
        double now = 5000;
        int nextId = 1;
        int answered;
        int placed;

        World(PolicySettings cfg, long seed) {
            this.cfg = cfg;
            random = new Random(seed);
            policy = new RoutingPolicy(cfg, seed);
            List<Endpoint> first = new ArrayList<>();
            for (int id = 1; id <= 10; id++) {
                first.add(Rig.member(id, EndpointState.READY, 0));
            }
            if (cfg.cacheAside()) {
                first.add(Rig.member(Rig.ORIGIN, EndpointState.READY, 0));
            }
            send(EndpointListKind.CACHED, first);
        }

        private void send(EndpointListKind kind, List<Endpoint> members) {
            if (kind != EndpointListKind.CHANGES && kind != EndpointListKind.FAILED) {
                list.clear();
            }
            members.forEach(m -> {
                list.put(m.id(), m);
                everListed.add(m.id());
            });
            policy.onEndpointList(now, kind, members, this);
        }

        void play(int steps) {
            for (int i = 0; i < steps; i++) {
                now += random.nextInt(8);
                fireTimers();
                switch (random.nextInt(12)) {
                    case 0, 1, 2 -> arrive();
                    case 3 -> {
                        if (random.nextInt(8) == 0) {
                            listNews();
                        }
                    }
                    case 4 -> {
                        if (random.nextInt(10) == 0) {
                            gone();
                        }
                    }
                    case 5 ->
                        policy.onProbeResult(
                                now,
                                1 + random.nextInt(12),
                                random.nextBoolean() ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT,
                                3,
                                null,
                                this);
                    default -> endSome();
                }
            }
            for (int i = 0; i < 400; i++) {
                now += 5;
                fireTimers();
            }
            live.forEach(h -> assertThat(h.over)
                    .as("request %d was answered", h.request.id())
                    .isTrue());
        }

        private void fireTimers() {
            for (double[] t : List.copyOf(timers)) {
                if (t[0] <= now) {
                    timers.remove(t);
                    policy.onTimer(now, (int) t[1], this);
                }
            }
            live.removeIf(h -> h.over && h.out() == 0);
            for (Held h : live) {
                assertThat(h.over || now <= h.request.deadlineMs() + cfg.responseGraceMs())
                        .as("request %d answered by its due time", h.request.id())
                        .isTrue();
            }
        }

        private void arrive() {
            Held h = new Held();
            int c = random.nextInt(3);
            h.request = new RoutingRequest(
                    nextId++,
                    c,
                    0,
                    random.nextInt(30),
                    now + 300 + random.nextInt(700),
                    random.nextBoolean() ? Double.NaN : 10 + random.nextInt(90),
                    0,
                    c != Rig.SAFE,
                    false);
            h.kind = cfg.classes().get(c);
            held.put(h.request.id(), h);
            live.add(h);
            policy.onRequest(now, h.request, this);
        }

        @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
        private void listNews() {
            int id = 1 + random.nextInt(12);
            int roll = random.nextInt(6);
            if (roll == 0 && cfg.pollsDiscovery()) {
                policy.onEndpointList(now, EndpointListKind.FAILED, List.of(), this);
            } else if (roll == 1) {
                send(
                        EndpointListKind.FULL,
                        List.copyOf(list.values().stream()
                                .filter(m -> m.state() != EndpointState.GONE)
                                .toList()));
            } else {
                send(
                        EndpointListKind.CHANGES,
                        List.of(Rig.member(
                                cfg.cacheAside() && roll == 2 ? Rig.ORIGIN : id,
                                EndpointState.values()[random.nextInt(3)],
                                random.nextBoolean() ? 0 : now)));
            }
        }

        private void gone() {
            if (!live.isEmpty()) {
                Held h = live.get(random.nextInt(live.size()));
                h.over = true;
                policy.onClientGone(now, h.request.id(), this);
            }
        }

        @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
        private void endSome() {
            for (Held h : List.copyOf(live)) {
                for (int a = 0; a < h.outcomes.size(); a++) {
                    if (h.outcomes.get(a) == null && random.nextInt(12) == 0) {
                        end(h, a, AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)]);
                    }
                }
            }
        }

        private void end(Held h, int a, AttemptOutcome outcome) {
            h.outcomes.set(a, outcome);
            if (outcome == AttemptOutcome.OK) {
                h.over = true;
            }
            policy.onAttemptEnd(
                    now,
                    new AttemptResult(
                            h.request.id(),
                            a,
                            h.servers.get(a),
                            outcome,
                            now - h.sentAt.get(a),
                            h.over,
                            random.nextInt(4),
                            null),
                    this);
        }

        @Override
        public void sendAttempt(int request, int server, double timeoutMs) {
            Held h = held.get(request);
            String what = "request " + request + " to " + server;
            assertThat(h.over).as(what + " after its end").isFalse();
            assertThat(everListed).as(what + " was listed").contains(server);
            assertThat(list.get(server)).as(what + " is on the list").isNotNull();
            assertThat(list.get(server).state()).as(what).isEqualTo(EndpointState.READY);
            assertThat(h.servers.size()).as(what + ": attempts").isLessThan(cfg.maxAttempts());
            assertThat(timeoutMs).as(what).isNotNegative();
            assertThat(h.out() == 0 || cfg.hedgingAllowed())
                    .as(what + " together with another")
                    .isTrue();
            int maybe = h.maybeRan();
            if (maybe >= 0) {
                assertThat(h.kind.idempotency()).as(what + " again").isNotEqualTo(Idempotency.NON_IDEMPOTENT);
                if (h.kind.idempotency() == Idempotency.DEDUPLICATED) {
                    assertThat(now).as(what).isLessThan(h.sentAt.get(maybe) + h.kind.deduplicationWindowMs());
                    int first = h.servers.get(maybe);
                    boolean same = switch (h.kind.deduplicationScope()) {
                        case ALL -> true;
                        case ZONE -> first % 2 == server % 2;
                        case CELL -> first / 4 == server / 4;
                    };
                    assertThat(same)
                            .as(what + " stays in the group of " + first)
                            .isTrue();
                }
            }
            h.servers.add(server);
            h.sentAt.add(now);
            h.outcomes.add(null);
            placed++;
            orders.add("place " + what + " " + timeoutMs);
        }

        private void answer(int request) {
            assertThat(held).containsKey(request);
            assertThat(held.get(request).over)
                    .as("request %d answered twice", request)
                    .isFalse();
            held.get(request).over = true;
            answered++;
        }

        @Override
        public void reject(int request, double retryAfterMs) {
            Held h = held.get(request);
            if (h.maybeRan() >= 0) {
                assertThat(h.kind.idempotency()).as("refusal of %d", request).isEqualTo(Idempotency.IDEMPOTENT);
            }
            answer(request);
            orders.add("deny " + request);
        }

        @Override
        public void fail(int request) {
            answer(request);
            orders.add("fail " + request);
        }

        @Override
        public void cancelAttempt(int request, int attempt) {
            assertThat(attempt).isLessThan(held.get(request).servers.size());
            orders.add("cancel " + request + " " + attempt);
        }

        @Override
        public void setTimer(double afterMs, int token) {
            assertThat(afterMs).isNotNegative();
            timers.add(new double[] {now + afterMs, token});
        }

        @Override
        public void probeServer(int server) {
            assertThat(cfg.probingAllowed()).isTrue();
            assertThat(everListed).contains(server);
            orders.add("probe " + server);
        }

        @Override
        public void closeIdleConnections(int server) {
            assertThat(everListed).contains(server);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            assertThat(cfg.peerMessagesAllowed()).isTrue();
        }

        @Override
        public void watchEndpointList(boolean on) {
            orders.add("watch");
        }

        @Override
        public void fetchEndpointList() {
            orders.add("fetch");
        }

        @Override
        public void log(String line) {
            orders.add(line);
        }
    }
}
