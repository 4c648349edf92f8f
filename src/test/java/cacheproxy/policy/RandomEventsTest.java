package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

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

/** Long random sequences of legal events; every action is checked against the protocol's rules. */
class RandomEventsTest {
    @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
    private static PolicySettings settings(int variant) {
        return PolicyHarness.settings(
                (variant & 1) == 0, (variant & 2) != 0, (variant & 4) != 0, DeduplicationScope.values()[variant % 3]);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
    void everyActionFollowsTheRules(int variant) {
        RandomFleet fleet = new RandomFleet(settings(variant), variant);
        fleet.run(6000);
        assertThat(fleet.finalResponses).isGreaterThan(200);
        assertThat(fleet.sentAttempts).isGreaterThan(500);
    }

    @Test
    void sameEventsCauseSameActions() {
        for (int variant = 0; variant < 8; variant++) {
            RandomFleet first = new RandomFleet(settings(variant), variant);
            RandomFleet second = new RandomFleet(settings(variant), variant);
            first.run(1500);
            second.run(1500);
            assertThat(second.actions).isEqualTo(first.actions);
        }
    }

    /** A request as recorded by the fleet; the rules are checked against this record rather than the policy's own. */
    private static final class TrackedRequest {
        RoutingRequest request;
        ServiceClass serviceClass;
        boolean concluded;
        final List<Integer> serverIds = new ArrayList<>();
        final List<Double> sentAtMs = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();

        long inFlightAttempts() {
            return outcomes.stream().filter(outcome -> outcome == null).count();
        }

        /** Returns the first attempt that may have run; -1 if there is none. */
        int firstThatMayHaveRun() {
            for (int attempt = 0; attempt < outcomes.size(); attempt++) {
                if (outcomes.get(attempt) == null || outcomes.get(attempt).mayHaveRun()) {
                    return attempt;
                }
            }
            return -1;
        }
    }

    private static final class RandomFleet implements PolicyActions {
        final PolicySettings settings;
        final Random random;
        final RoutingPolicy policy;
        final Map<Integer, TrackedRequest> requests = new HashMap<>();
        final List<TrackedRequest> openRequests = new ArrayList<>();
        final Map<Integer, Endpoint> listedEndpoints = new HashMap<>();
        final Set<Integer> everListedIds = new HashSet<>();
        final List<double[]> timers = new ArrayList<>();
        final List<String> actions = new ArrayList<>();
        double nowMs = 5000;
        int nextId = 1;
        int finalResponses;
        int sentAttempts;

        RandomFleet(PolicySettings settings, long seed) {
            this.settings = settings;
            random = new Random(seed);
            policy = new RoutingPolicy(settings, seed);
            List<Endpoint> initial = new ArrayList<>();
            for (int id = 1; id <= 10; id++) {
                initial.add(PolicyHarness.endpoint(id, EndpointState.READY, 0));
            }
            if (settings.cacheAside()) {
                initial.add(PolicyHarness.endpoint(PolicyHarness.ORIGIN, EndpointState.READY, 0));
            }
            sendList(EndpointListKind.CACHED, initial);
        }

        private void sendList(EndpointListKind kind, List<Endpoint> endpoints) {
            if (kind != EndpointListKind.CHANGES && kind != EndpointListKind.FAILED) {
                listedEndpoints.clear();
            }
            endpoints.forEach(endpoint -> {
                listedEndpoints.put(endpoint.id(), endpoint);
                everListedIds.add(endpoint.id());
            });
            policy.onEndpointList(nowMs, kind, endpoints, this);
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
                nowMs += random.nextInt(8);
                fireTimers();
                switch (random.nextInt(12)) {
                    case 0, 1, 2 -> sendRequest();
                    case 3 -> {
                        if (random.nextInt(8) == 0) {
                            changeList();
                        }
                    }
                    case 4 -> {
                        if (random.nextInt(10) == 0) {
                            disconnectClient();
                        }
                    }
                    case 5 ->
                        policy.onProbeResult(
                                nowMs,
                                1 + random.nextInt(12),
                                random.nextBoolean() ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT,
                                3,
                                null,
                                this);
                    default -> endSomeAttempts();
                }
            }
            for (int i = 0; i < 400; i++) {
                nowMs += 5;
                fireTimers();
            }
            openRequests.forEach(tracked -> assertThat(tracked.concluded)
                    .as("request %d has its response", tracked.request.id())
                    .isTrue());
        }

        private void fireTimers() {
            for (double[] timer : List.copyOf(timers)) {
                if (timer[0] <= nowMs) {
                    timers.remove(timer);
                    policy.onTimer(nowMs, (int) timer[1], this);
                }
            }
            openRequests.removeIf(tracked -> tracked.concluded && tracked.inFlightAttempts() == 0);
            for (TrackedRequest tracked : openRequests) {
                assertThat(tracked.concluded || nowMs <= tracked.request.deadlineMs() + settings.responseGraceMs())
                        .as("request %d has its response by its deadline", tracked.request.id())
                        .isTrue();
            }
        }

        private void sendRequest() {
            TrackedRequest tracked = new TrackedRequest();
            int serviceClass = random.nextInt(3);
            tracked.request = new RoutingRequest(
                    nextId++,
                    serviceClass,
                    0,
                    random.nextInt(30),
                    nowMs + 300 + random.nextInt(700),
                    random.nextBoolean() ? Double.NaN : 10 + random.nextInt(90),
                    0,
                    serviceClass != PolicyHarness.IDEMPOTENT,
                    false);
            tracked.serviceClass = settings.classes().get(serviceClass);
            requests.put(tracked.request.id(), tracked);
            openRequests.add(tracked);
            policy.onRequest(nowMs, tracked.request, this);
        }

        @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
        private void changeList() {
            int id = 1 + random.nextInt(12);
            int roll = random.nextInt(6);
            if (roll == 0 && settings.pollsDiscovery()) {
                policy.onEndpointList(nowMs, EndpointListKind.FAILED, List.of(), this);
            } else if (roll == 1) {
                sendList(
                        EndpointListKind.FULL,
                        List.copyOf(listedEndpoints.values().stream()
                                .filter(endpoint -> endpoint.state() != EndpointState.GONE)
                                .toList()));
            } else {
                sendList(
                        EndpointListKind.CHANGES,
                        List.of(PolicyHarness.endpoint(
                                settings.cacheAside() && roll == 2 ? PolicyHarness.ORIGIN : id,
                                EndpointState.values()[random.nextInt(3)],
                                random.nextBoolean() ? 0 : nowMs)));
            }
        }

        private void disconnectClient() {
            if (!openRequests.isEmpty()) {
                TrackedRequest tracked = openRequests.get(random.nextInt(openRequests.size()));
                tracked.concluded = true;
                policy.onClientGone(nowMs, tracked.request.id(), this);
            }
        }

        @SuppressWarnings("EnumOrdinal") // draws a constant, or checks its code on the wire
        private void endSomeAttempts() {
            for (TrackedRequest tracked : List.copyOf(openRequests)) {
                for (int attempt = 0; attempt < tracked.outcomes.size(); attempt++) {
                    if (tracked.outcomes.get(attempt) == null && random.nextInt(12) == 0) {
                        endAttempt(
                                tracked,
                                attempt,
                                AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)]);
                    }
                }
            }
        }

        private void endAttempt(TrackedRequest tracked, int attempt, AttemptOutcome outcome) {
            tracked.outcomes.set(attempt, outcome);
            if (outcome == AttemptOutcome.OK) {
                tracked.concluded = true;
            }
            policy.onAttemptEnd(
                    nowMs,
                    new AttemptResult(
                            tracked.request.id(),
                            attempt,
                            tracked.serverIds.get(attempt),
                            outcome,
                            nowMs - tracked.sentAtMs.get(attempt),
                            tracked.concluded,
                            random.nextInt(4),
                            null),
                    this);
        }

        @Override
        public void sendAttempt(int requestId, int serverId, double timeoutMs) {
            TrackedRequest tracked = requests.get(requestId);
            String what = "request " + requestId + " to " + serverId;
            assertThat(tracked.concluded).as(what + " after its end").isFalse();
            assertThat(everListedIds).as(what + " was listed").contains(serverId);
            assertThat(listedEndpoints.get(serverId))
                    .as(what + " is on the list")
                    .isNotNull();
            assertThat(listedEndpoints.get(serverId).state()).as(what).isEqualTo(EndpointState.READY);
            assertThat(tracked.serverIds.size()).as(what + ": attempts").isLessThan(settings.maxAttempts());
            assertThat(timeoutMs).as(what).isNotNegative();
            assertThat(tracked.inFlightAttempts() == 0 || settings.hedgingAllowed())
                    .as(what + " while another attempt is in flight")
                    .isTrue();
            int mayHaveRun = tracked.firstThatMayHaveRun();
            if (mayHaveRun >= 0) {
                assertThat(tracked.serviceClass.idempotency())
                        .as(what + " is sent again")
                        .isNotEqualTo(Idempotency.NON_IDEMPOTENT);
                if (tracked.serviceClass.idempotency() == Idempotency.DEDUPLICATED) {
                    assertThat(nowMs)
                            .as(what)
                            .isLessThan(
                                    tracked.sentAtMs.get(mayHaveRun) + tracked.serviceClass.deduplicationWindowMs());
                    int firstServerId = tracked.serverIds.get(mayHaveRun);
                    boolean sameScope = switch (tracked.serviceClass.deduplicationScope()) {
                        case ALL -> true;
                        case ZONE -> firstServerId % 2 == serverId % 2;
                        case CELL -> firstServerId / 4 == serverId / 4;
                    };
                    assertThat(sameScope)
                            .as(what + " stays in the scope of " + firstServerId)
                            .isTrue();
                }
            }
            tracked.serverIds.add(serverId);
            tracked.sentAtMs.add(nowMs);
            tracked.outcomes.add(null);
            sentAttempts++;
            actions.add("send " + what + " " + timeoutMs);
        }

        private void recordFinalResponse(int requestId) {
            assertThat(requests).containsKey(requestId);
            assertThat(requests.get(requestId).concluded)
                    .as("request %d has two responses", requestId)
                    .isFalse();
            requests.get(requestId).concluded = true;
            finalResponses++;
        }

        @Override
        public void reject(int requestId, double retryAfterMs) {
            TrackedRequest tracked = requests.get(requestId);
            if (tracked.firstThatMayHaveRun() >= 0) {
                assertThat(tracked.serviceClass.idempotency())
                        .as("rejection of request %d", requestId)
                        .isEqualTo(Idempotency.IDEMPOTENT);
            }
            recordFinalResponse(requestId);
            actions.add("reject " + requestId);
        }

        @Override
        public void fail(int requestId) {
            recordFinalResponse(requestId);
            actions.add("fail " + requestId);
        }

        @Override
        public void cancelAttempt(int requestId, int attempt) {
            assertThat(attempt).isLessThan(requests.get(requestId).serverIds.size());
            actions.add("cancel " + requestId + " " + attempt);
        }

        @Override
        public void setTimer(double delayMs, int token) {
            assertThat(delayMs).isNotNegative();
            timers.add(new double[] {nowMs + delayMs, token});
        }

        @Override
        public void probeServer(int serverId) {
            assertThat(settings.probingAllowed()).isTrue();
            assertThat(everListedIds).contains(serverId);
            actions.add("probe " + serverId);
        }

        @Override
        public void closeIdleConnections(int serverId) {
            assertThat(everListedIds).contains(serverId);
        }

        @Override
        public void sendToPeer(int peerId, byte[] message) {
            assertThat(settings.peerMessagesAllowed()).isTrue();
        }

        @Override
        public void watchEndpointList(boolean enabled) {
            actions.add("watch");
        }

        @Override
        public void fetchEndpointList() {
            actions.add("fetch");
        }

        @Override
        public void log(String line) {
            actions.add(line);
        }
    }
}
