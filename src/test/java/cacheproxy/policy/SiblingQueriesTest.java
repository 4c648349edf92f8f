package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.siblings.Siblings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Queries of siblings after a miss, and the handling of their answers. */
class SiblingQueriesTest {
    private static final int SIBLING = 7000;
    private double waitMs = 20;
    private final List<AttemptOutcome> fetched = new ArrayList<>();
    private final List<Double> pressures = new ArrayList<>();

    private final Siblings siblings = new Siblings() {
        @Override
        public boolean isSibling(Endpoint member) {
            return member.id() == SIBLING;
        }

        @Override
        public double waitMs(double now, double fetchMs, double leftMs, double pressure) {
            pressures.add(pressure);
            return leftMs > 0 ? waitMs : 0;
        }

        @Override
        public void recordFetch(double now, int sibling, AttemptOutcome outcome, double elapsedMs) {
            fetched.add(outcome);
        }
    };

    private PolicyHarness harness(boolean hedgingAllowed) {
        PolicySettings settings = PolicyHarness.withoutProbing(
                PolicyHarness.settings(true, false, hedgingAllowed, DeduplicationScope.ALL));
        PolicyHarness harness = new PolicyHarness(
                settings, new RoutingPolicy(settings, 42, CarpPlacement::new, AdmissionControl.UNLIMITED, siblings));
        harness.withFleet(4);
        harness.policy.onEndpointList(
                harness.nowMs,
                EndpointListKind.CHANGES,
                List.of(new Endpoint(SIBLING, 0, 0, 0, EndpointState.READY, 1, 0)),
                harness);
        return harness;
    }

    /** Sends a read that misses at its server. */
    private static void readAndMiss(PolicyHarness harness, int id, long key) {
        harness.read(id, key);
        harness.end(harness.lastSent(), AttemptOutcome.MISS);
    }

    @Test
    void placesNoKeyAtSiblingAndQueriesOncePerMiss() {
        PolicyHarness harness = harness(true);
        for (int i = 1; i <= 200; i++) {
            harness.read(i, i * 7919L);
            assertThat(harness.lastSent().serverId()).isNotEqualTo(SIBLING);
            harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 5);
        }
        readAndMiss(harness, 500, 1);
        assertThat(harness.siblingQueries).containsExactly(500);
        assertThat(harness.lastSent().serverId())
                .as("nothing is fetched while siblings are queried")
                .isNotIn(SIBLING, PolicyHarness.ORIGIN);
    }

    @Test
    void fetchesHitFromSiblingInsteadOfOrigin() {
        PolicyHarness harness = harness(true);
        readAndMiss(harness, 1, 5);
        harness.policy.onSiblingResponse(harness.nowMs, 1, SIBLING, harness);
        assertThat(harness.lastSent().serverId()).isEqualTo(SIBLING);
        harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 4);
        harness.advanceTime(2000);
        assertThat(harness.sentAttempts).hasSize(2).noneMatch(sent -> sent.serverId() == PolicyHarness.ORIGIN);
        assertThat(fetched).containsExactly(AttemptOutcome.OK);
        assertThat(harness.finalResponses()).isZero();
        assertThat(harness.policy.learnedState(harness.nowMs, 0).servers()).isEmpty();
    }

    @Test
    void fetchesFromOriginWhenNoSiblingHasKeyInTime() {
        PolicyHarness harness = harness(true);
        readAndMiss(harness, 1, 5);
        harness.advanceTime(21);
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.ORIGIN);
        harness.policy.onSiblingResponse(harness.nowMs, 1, SIBLING, harness); // too late
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.ORIGIN);
        readAndMiss(harness, 2, 6);
        harness.policy.onSiblingResponse(harness.nowMs, 2, 0, harness);
        assertThat(harness.lastSent())
                .satisfies(sent -> assertThat(sent.serverId()).isEqualTo(PolicyHarness.ORIGIN));
        harness.advanceTime(100);
        assertThat(harness.sentAttempts.stream()
                        .filter(sent -> sent.requestId() == 2 && sent.serverId() == PolicyHarness.ORIGIN))
                .as("fetches of the object from the origin")
                .hasSize(1);
        readAndMiss(harness, 3, 7);
        harness.policy.onSiblingResponse(harness.nowMs, 3, 1, harness); // a server that is not a sibling
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.ORIGIN);
    }

    @Test
    void failedSiblingFetchCostsOneAttempt() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.MISS,
            AttemptOutcome.ERROR,
            AttemptOutcome.FULL,
            AttemptOutcome.RESET,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.TIMEOUT
        }) {
            PolicyHarness harness = harness(true);
            readAndMiss(harness, 1, 5);
            harness.policy.onSiblingResponse(harness.nowMs, 1, SIBLING, harness);
            harness.end(harness.lastSent(), outcome);
            assertThat(harness.lastSent().serverId()).as(outcome.name()).isEqualTo(PolicyHarness.ORIGIN);
            harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 10);
            assertThat(harness.finalResponses()).isZero();
            assertThat(harness.siblingQueries).hasSize(1);
            assertThat(fetched).last().isEqualTo(outcome);
        }
        PolicyHarness harness = harness(true);
        readAndMiss(harness, 1, 5);
        harness.policy.onSiblingResponse(harness.nowMs, 1, SIBLING, harness);
        harness.advanceTime(300);
        assertThat(harness.lastSent().serverId()).as("after a silent sibling").isEqualTo(PolicyHarness.ORIGIN);
        assertThat(harness.policy.learnedState(harness.nowMs, 0).servers())
                .as("a silent sibling is not ejected")
                .isEmpty();
    }

    @Test
    void waitersFetchHitFromSibling() {
        PolicyHarness harness = harness(true);
        for (int i = 1; i <= 4; i++) {
            readAndMiss(harness, i, 5);
        }
        assertThat(harness.siblingQueries).containsExactly(1);
        harness.policy.onSiblingResponse(harness.nowMs, 1, SIBLING, harness);
        harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 4);
        assertThat(harness.sentAttempts.stream()
                        .filter(sent -> sent.serverId() == SIBLING)
                        .map(PolicyHarness.SentAttempt::requestId))
                .containsExactly(1, 2, 3, 4);
        harness.end(
                harness.sentAttempts.stream()
                        .filter(sent -> sent.serverId() == SIBLING && sent.requestId() == 3)
                        .findFirst()
                        .orElseThrow(),
                AttemptOutcome.MISS);
        assertThat(harness.lastSent())
                .as("the sibling does not have the key for the third request")
                .satisfies(sent -> {
                    assertThat(sent.serverId()).isEqualTo(PolicyHarness.ORIGIN);
                    assertThat(sent.requestId()).isEqualTo(3);
                });
    }

    @Test
    void waiterFetchesWhenLeaderLeaves() {
        for (boolean atSibling : new boolean[] {false, true}) {
            PolicyHarness harness = harness(true);
            readAndMiss(harness, 1, 5);
            readAndMiss(harness, 2, 5);
            if (atSibling) {
                harness.policy.onSiblingResponse(harness.nowMs, 1, SIBLING, harness);
            }
            harness.policy.onClientGone(harness.nowMs, 1, harness);
            if (atSibling) {
                harness.end(harness.lastSent(), AttemptOutcome.RESET);
            }
            harness.advanceTime(25);
            assertThat(harness.sentAttempts.stream()
                                    .filter(sent -> (sent.requestId() == 2 && sent.serverId() == PolicyHarness.ORIGIN)
                                            || (sent.requestId() == 2 && sent.serverId() == SIBLING))
                                    .count()
                            + harness.siblingQueries.stream()
                                    .filter(requestId -> requestId == 2)
                                    .count())
                    .isPositive();
            harness.advanceTime(2000);
            assertThat(harness.sentAttempts.stream()
                            .filter(sent -> sent.requestId() == 2 && sent.serverId() == PolicyHarness.ORIGIN))
                    .hasSize(1);
        }
    }

    @Test
    void queriesNoSiblingsWithoutMiss() {
        PolicyHarness harness = harness(true);
        harness.write(1, PolicyHarness.DEDUPLICATED);
        harness.write(2, PolicyHarness.NON_IDEMPOTENT);
        harness.end(harness.lastSent(), AttemptOutcome.RESET);
        harness.read(3, 9);
        harness.end(harness.lastSent(), AttemptOutcome.CONNECT_FAILED);
        assertThat(harness.siblingQueries).isEmpty();
        assertThat(harness.sentAttempts).noneMatch(sent -> sent.serverId() == SIBLING);
        waitMs = 0;
        readAndMiss(harness, 4, 5);
        assertThat(harness.siblingQueries).isEmpty();
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.ORIGIN);
    }

    /**
     * Whatever the results and their order, each request has one final response and at most one fetch from the origin.
     */
    @Test
    void concludesEachRequestOnceInAnyOrderOfEvents() {
        SplittableRandom random = new SplittableRandom(8);
        for (int round = 0; round < 300; round++) {
            RandomRun run = new RandomRun(random, harness(random.nextBoolean()));
            for (int step = 0; step < 120; step++) {
                run.step();
            }
            run.finish();
            for (int id = 1; id <= run.requestCount; id++) {
                run.assertConcludedOnce("round " + round + ", request " + id, id);
            }
        }
    }

    /** Random events of up to {@link #MAX_REQUESTS} requests for three keys. */
    private static final class RandomRun {
        private static final int MAX_REQUESTS = 20;

        private static final AttemptOutcome[] OUTCOMES = {
            AttemptOutcome.OK,
            AttemptOutcome.MISS,
            AttemptOutcome.ERROR,
            AttemptOutcome.RESET,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.FULL
        };

        private final SplittableRandom random;
        private final PolicyHarness harness;
        private final List<PolicyHarness.SentAttempt> inFlight = new ArrayList<>();
        private final List<Integer> served = new ArrayList<>();
        private int seenAttempts;
        private int requestCount;

        RandomRun(SplittableRandom random, PolicyHarness harness) {
            this.random = random;
            this.harness = harness;
        }

        void step() {
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    if (requestCount < MAX_REQUESTS) {
                        harness.read(++requestCount, 1 + random.nextInt(3));
                    }
                }
                case 2, 3 -> {
                    if (!inFlight.isEmpty()) {
                        endAttempt(inFlight.remove(random.nextInt(inFlight.size())));
                    }
                }
                case 4 -> {
                    if (requestCount > 0) {
                        int requestId = 1 + random.nextInt(requestCount);
                        int siblingId = random.nextBoolean() ? SIBLING : 0;
                        harness.policy.onSiblingResponse(harness.nowMs, requestId, siblingId, harness);
                    }
                }
                default -> harness.advanceTime(random.nextInt(30));
            }
            collectSentAttempts();
        }

        private void endAttempt(PolicyHarness.SentAttempt sent) {
            AttemptOutcome outcome = sent.serverId() < 100 && random.nextInt(3) > 0
                    ? AttemptOutcome.MISS
                    : OUTCOMES[random.nextInt(OUTCOMES.length)];
            int requestId = sent.requestId();
            boolean first = outcome == AttemptOutcome.OK
                    && !served.contains(requestId)
                    && !harness.rejected.contains(requestId)
                    && !harness.failed.contains(requestId);
            if (first) {
                served.add(requestId);
            }
            harness.end(sent, outcome, first, 0);
        }

        private void collectSentAttempts() {
            for (; seenAttempts < harness.sentAttempts.size(); seenAttempts++) {
                inFlight.add(harness.sentAttempts.get(seenAttempts));
            }
        }

        void finish() {
            harness.advanceTime(5000);
            collectSentAttempts();
            inFlight.forEach(sent -> harness.end(sent, AttemptOutcome.TIMEOUT));
            harness.advanceTime(5000);
        }

        void assertConcludedOnce(String description, int requestId) {
            int finalResponses = Collections.frequency(harness.rejected, requestId)
                    + Collections.frequency(harness.failed, requestId)
                    + Collections.frequency(served, requestId);
            assertThat(finalResponses).as(description).isEqualTo(1);
            assertThat(harness.sentAttempts.stream()
                            .filter(sent -> sent.requestId() == requestId)
                            .filter(sent -> sent.serverId() == PolicyHarness.ORIGIN))
                    .as(description)
                    .hasSizeLessThanOrEqualTo(1);
            assertThat(Collections.frequency(harness.siblingQueries, requestId))
                    .as(description)
                    .isLessThanOrEqualTo(1);
        }
    }
}
