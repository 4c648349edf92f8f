package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The choice of servers, and the one final response of each request. */
class RoutingPolicyTest {
    @Test
    void sendsKeyToTopRankedServerAndMissToOrigin() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(12);
        harness.read(1, 77);
        int top = PolicyHarness.topRank(77, 12);
        assertThat(harness.lastSent().serverId()).isEqualTo(top);
        harness.end(harness.lastSent(), AttemptOutcome.MISS);
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.ORIGIN);
        harness.end(harness.lastSent(), AttemptOutcome.OK);
        assertThat(harness.finalResponses()).isZero();
    }

    @Test
    void selectsSameServersWhateverTheListOrder() {
        PolicyHarness ascending = PolicyHarness.cacheAside().withFleet(30);
        PolicyHarness descending = PolicyHarness.cacheAside();
        List<Endpoint> list = new ArrayList<>();
        for (int id = 30; id >= 1; id--) {
            list.add(PolicyHarness.endpoint(id, EndpointState.READY, 0));
        }
        descending.policy.onEndpointList(descending.nowMs, EndpointListKind.FULL, list, descending);
        for (int key = 1; key < 200; key++) {
            ascending.read(key, key);
            descending.read(key, key);
            assertThat(descending.lastSent().serverId())
                    .isEqualTo(ascending.lastSent().serverId());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"CONNECT_FAILED", "RESET"})
    void sendsToRunnerUpAfterConnectionFailure(AttemptOutcome outcome) {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(12);
        harness.read(1, 77);
        int top = harness.lastSent().serverId();
        harness.end(harness.lastSent(), outcome);
        int runnerUp = harness.lastSent().serverId();
        assertThat(runnerUp).isNotIn(top, PolicyHarness.ORIGIN);
        harness.read(2, 77);
        if (outcome == AttemptOutcome.RESET) {
            assertThat(harness.lastSent().serverId())
                    .as("a single reset ejects no server")
                    .isEqualTo(top);
            harness.end(harness.lastSent(), outcome);
            assertThat(harness.lastSent().serverId()).isEqualTo(runnerUp);
            harness.read(3, 77);
        }
        assertThat(harness.lastSent().serverId())
                .as("the key stays with the runner-up while its server is ejected")
                .isEqualTo(runnerUp);
    }

    @Test
    void sendsWritesToOriginInCacheAsidePool() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        harness.write(1, PolicyHarness.NON_IDEMPOTENT);
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.ORIGIN);
    }

    @Test
    void sendsWritesByRankWithoutCacheAside() {
        PolicyHarness harness =
                new PolicyHarness(PolicyHarness.settings(false, false, false, DeduplicationScope.ALL)).withFleet(5);
        harness.write(1, PolicyHarness.NON_IDEMPOTENT);
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.topRank(7, 5));
    }

    @Test
    void ranksKeylessRequestsByTheirId() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(12);
        Set<Integer> used = new HashSet<>();
        for (int id = 1; id <= 100; id++) {
            harness.read(id, 0);
            used.add(harness.lastSent().serverId());
        }
        assertThat(used).hasSizeGreaterThan(8);
    }

    @Test
    void distributesKeysEquallyWhenAllWeightsAreZero() {
        PolicyHarness harness = PolicyHarness.cacheAside();
        harness.policy.onEndpointList(
                harness.nowMs,
                EndpointListKind.FULL,
                List.of(
                        new Endpoint(1, 0, 0, 0, EndpointState.READY, 0, 0),
                        new Endpoint(2, 0, 0, 0, EndpointState.READY, 0, 0)),
                harness);
        Set<Integer> used = new HashSet<>();
        for (int id = 1; id <= 40; id++) {
            harness.read(id, id);
            used.add(harness.lastSent().serverId());
        }
        assertThat(used).containsExactlyInAnyOrder(1, 2);
    }

    /**
     * A key that receives much of the traffic is spread over several servers; when the traffic falls, it has one server
     * again.
     */
    @Test
    void spreadsHotKeyUntilItCoolsDown() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(20);
        Set<Integer> serversWhileHot = new HashSet<>();
        for (int id = 1; id <= 400; id++) {
            harness.nowMs += 5;
            harness.read(id, id % 4 == 0 ? 7 : id + 1000);
            if (id % 4 == 0 && id > 200) {
                serversWhileHot.add(harness.lastSent().serverId());
            }
            harness.end(harness.lastSent(), AttemptOutcome.OK);
        }
        assertThat(serversWhileHot).hasSizeBetween(5, 12);
        harness.nowMs += 60000;
        Set<Integer> serversAfterwards = new HashSet<>();
        for (int id = 1001; id <= 1020; id++) {
            harness.nowMs += 3000;
            harness.read(id, 7);
            serversAfterwards.add(harness.lastSent().serverId());
            harness.end(harness.lastSent(), AttemptOutcome.OK);
        }
        assertThat(serversAfterwards).containsExactly(PolicyHarness.topRank(7, 20));
    }

    @Test
    void sendsNothingToDrainingOrGoneServer() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(3);
        harness.changeEndpoints(
                PolicyHarness.endpoint(1, EndpointState.DRAINING, 0), PolicyHarness.endpoint(2, EndpointState.GONE, 0));
        for (int id = 1; id <= 50; id++) {
            harness.read(id, id);
            assertThat(harness.lastSent().serverId()).isEqualTo(3);
        }
        harness.read(99, 5);
        harness.changeEndpoints(PolicyHarness.endpoint(PolicyHarness.ORIGIN, EndpointState.DRAINING, 0));
        int sentBefore = harness.sentAttempts.size();
        harness.end(harness.lastSent(), AttemptOutcome.MISS);
        assertThat(harness.sentAttempts).hasSize(sentBefore);
        assertThat(harness.rejected).containsExactly(99);
    }

    @ParameterizedTest
    @ValueSource(ints = {PolicyHarness.IDEMPOTENT, PolicyHarness.DEDUPLICATED, PolicyHarness.NON_IDEMPOTENT})
    void givesOneFinalResponseAtDeadlineOfSilentServer(int serviceClass) {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        harness.policy.onRequest(
                harness.nowMs,
                new RoutingRequest(
                        1,
                        serviceClass,
                        0,
                        7,
                        harness.nowMs + 1000,
                        Double.NaN,
                        0,
                        serviceClass != PolicyHarness.IDEMPOTENT,
                        false),
                harness);
        harness.advanceTime(999);
        assertThat(harness.finalResponses()).isZero();
        harness.advanceTime(1);
        assertThat(harness.finalResponses()).isEqualTo(1);
        int sentBefore = harness.sentAttempts.size();
        harness.advanceTime(5000);
        assertThat(harness.finalResponses()).isEqualTo(1);
        assertThat(harness.sentAttempts).hasSize(sentBefore);
    }

    @Test
    void ignoresEventsOfConcludedRequest() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        harness.read(1, 7);
        PolicyHarness.SentAttempt first = harness.lastSent();
        harness.policy.onClientGone(harness.nowMs, 1, harness);
        int actionsBefore = harness.actions.size();
        harness.policy.onClientGone(harness.nowMs, 1, harness);
        harness.end(first, AttemptOutcome.TIMEOUT, true, 0);
        harness.end(first, AttemptOutcome.TIMEOUT, true, 0);
        harness.policy.onTimer(harness.nowMs, 123456, harness);
        harness.advanceTime(3000);
        assertThat(harness.actions).hasSize(actionsBefore);
    }

    @Test
    void rejectsAtOnceWhenListIsEmpty() {
        PolicyHarness harness = PolicyHarness.cacheAside();
        harness.policy.onEndpointList(harness.nowMs, EndpointListKind.CACHED, List.of(), harness);
        harness.read(1, 7);
        harness.write(2, PolicyHarness.NON_IDEMPOTENT);
        assertThat(harness.rejected).containsExactly(1, 2);
    }

    /**
     * A request that is given up must not wait for its deadline, because its client could try another proxy in the
     * meantime.
     */
    @Test
    void givesUpAtOnceWithRetryAfter() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(12);
        harness.read(1, 1);
        harness.end(harness.lastSent(), AttemptOutcome.MISS);
        harness.end(harness.lastSent(), AttemptOutcome.FULL);
        assertThat(harness.rejected).containsExactly(1);
        harness.write(2, PolicyHarness.NON_IDEMPOTENT);
        harness.end(harness.lastSent(), AttemptOutcome.ERROR);
        assertThat(harness.failed).containsExactly(2);
        int id = 3;
        for (; harness.rejected.size() < 50; id++) {
            harness.nowMs += 10;
            int sentBefore = harness.sentAttempts.size();
            int responsesBefore = harness.finalResponses();
            harness.read(id, id);
            if (harness.sentAttempts.size() > sentBefore) {
                harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 290);
            } else {
                assertThat(harness.finalResponses()).as("request " + id).isEqualTo(responsesBefore + 1);
            }
        }
        assertThat(harness.retryAfterTimes).allSatisfy(ms -> assertThat(ms).isBetween(1.0, 500.0));
    }

    @Test
    void rejectsInvalidEndpointsAndRequestsByName() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(3);
        assertThatThrownBy(() -> harness.changeEndpoints(
                        PolicyHarness.endpoint(1, EndpointState.READY, 0),
                        PolicyHarness.endpoint(1, EndpointState.READY, 0)))
                .hasMessageContaining("member 1 is listed twice");
        assertThatThrownBy(() -> harness.changeEndpoints(new Endpoint(8, 0, 0, 0, EndpointState.READY, Float.NaN, 0)))
                .hasMessageContaining("member 8 has weight NaN");
        assertThatThrownBy(() -> harness.changeEndpoints(new Endpoint(8, 5, 0, 0, EndpointState.READY, 1, 0)))
                .hasMessageContaining("zone 5");
        assertThatThrownBy(() -> harness.policy.onRequest(
                        harness.nowMs, new RoutingRequest(1, 9, 0, 1, harness.nowMs + 10, 1, 0, false, false), harness))
                .hasMessageContaining("class 9");
        assertThatThrownBy(() -> harness.policy.onRequest(
                        harness.nowMs, new RoutingRequest(1, 0, 3, 1, harness.nowMs + 10, 1, 0, false, false), harness))
                .hasMessageContaining("tenant 3");
    }
}
