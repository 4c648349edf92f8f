package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedLoad;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Export of learned state, and its effect on the policy that restores it. */
class LearnedStateTransferTest {
    private static PolicyHarness harness(int servers) {
        return new PolicyHarness(
                        PolicyHarness.withoutProbing(PolicyHarness.settings(true, false, true, DeduplicationScope.ALL)))
                .withFleet(servers);
    }

    private static LearnedState stateWithEjected(double ejectedForMs, int... ids) {
        List<LearnedServer> servers = new ArrayList<>();
        for (int id : ids) {
            servers.add(new LearnedServer(id, 0, 3, ejectedForMs, 0));
        }
        return new LearnedState(
                servers,
                LearnedState.NONE.latency(),
                LearnedState.NONE.originLoad(),
                LearnedState.NONE.serverLoad(),
                LearnedState.NONE.hotKeys());
    }

    /** Returns the servers of the first attempts of some reads. */
    private static Set<Integer> firstServers(PolicyHarness harness, int from, int count) {
        Set<Integer> serverIds = new HashSet<>();
        for (int i = from; i < from + count; i++) {
            int firstSent = harness.sentAttempts.size();
            harness.read(i, 1000L + i);
            serverIds.add(harness.sentAttempts.get(firstSent).serverId());
            harness.endAfter(harness.sentAttempts.get(firstSent), AttemptOutcome.OK, 5);
        }
        return serverIds;
    }

    @Test
    void restoresEjectionsOfFailedServers() {
        PolicyHarness first = harness(4);
        first.read(1, 7);
        int slow = first.lastSent().serverId();
        first.end(first.lastSent(), AttemptOutcome.TIMEOUT);
        first.endAfter(first.lastSent(), AttemptOutcome.OK, 5);
        LearnedState learned = first.policy.learnedState(first.nowMs, 10);
        assertThat(learned.servers()).singleElement().satisfies(server -> {
            assertThat(server.id()).isEqualTo(slow);
            assertThat(server.failures()).isPositive();
            assertThat(server.ejectedForMs()).isPositive();
        });
        PolicyHarness next = harness(4);
        next.policy.restore(next.nowMs, learned);
        assertThat(firstServers(next, 1, 60)).doesNotContain(slow).hasSize(3);
        assertThat(next.policy.learnedState(next.nowMs, 10).servers())
                .as("restored state, exported again")
                .isEqualTo(learned.servers());
        assertThat(firstServers(harness(4), 1, 60)).as("without restored state").contains(slow);
    }

    @Test
    void probesRestoredServerOnceAfterItsEjection() {
        PolicyHarness harness = harness(4);
        harness.policy.restore(harness.nowMs, stateWithEjected(500, 2));
        assertThat(firstServers(harness, 1, 60)).doesNotContain(2);
        harness.advanceTime(501);
        harness.sentAttempts.clear();
        for (int i = 100; i < 160; i++) {
            harness.read(i, 1000 + i); // no answers yet
        }
        assertThat(harness.sentAttempts.stream().filter(sent -> sent.serverId() == 2))
                .as("one half-open probe")
                .hasSize(1);
        harness.endAfter(
                harness.sentAttempts.stream()
                        .filter(sent -> sent.serverId() == 2)
                        .findFirst()
                        .orElseThrow(),
                AttemptOutcome.OK,
                5);
        assertThat(firstServers(harness, 200, 60)).contains(2);
        assertThat(harness.policy.learnedState(harness.nowMs, 10).servers()).isEmpty();
    }

    @Test
    void limitsRestoredEjectionToLongestOwnEjection() {
        PolicyHarness harness = harness(4);
        harness.policy.restore(harness.nowMs, stateWithEjected(1e14, 2));
        harness.advanceTime(10 * 100 * 8 + 1); // ten times the connect timeout, doubled three times
        assertThat(firstServers(harness, 1, 100)).contains(2);
    }

    @Test
    void ignoresRestoredFailuresOfRestartedOrObservedServers() {
        PolicyHarness harness = harness(4);
        harness.changeEndpoints(PolicyHarness.endpoint(3, EndpointState.READY, 500));
        harness.policy.restore(
                harness.nowMs,
                stateWithEjected(
                        8000,
                        3,
                        77,
                        PolicyHarness.ORIGIN)); // 3 has restarted, 77 is not listed, the origin is never ejected
        harness.advanceTime(10_000);
        assertThat(firstServers(harness, 1, 100)).contains(3);
        harness.end(readUntilSentTo(harness, 1), AttemptOutcome.CONNECT_FAILED);
        LearnedState before = harness.policy.learnedState(harness.nowMs, 0);
        harness.policy.restore(harness.nowMs, stateWithEjected(1, 1));
        assertThat(harness.policy.learnedState(harness.nowMs, 0).servers()).isEqualTo(before.servers());
    }

    private static PolicyHarness.SentAttempt readUntilSentTo(PolicyHarness harness, int server) {
        for (int i = 5000; ; i++) {
            harness.read(i, i * 31L);
            if (harness.lastSent().serverId() == server) {
                return harness.lastSent();
            }
        }
    }

    @Test
    void servesWhenAllServersAreRestoredAsEjected() {
        PolicyHarness harness = harness(4);
        harness.policy.restore(harness.nowMs, stateWithEjected(8000, 1, 2, 3, 4));
        assertThat(firstServers(harness, 1, 100)).isNotEmpty();
        assertThat(harness.finalResponses()).as("nothing was rejected").isZero();
        harness.advanceTime(8001);
        assertThat(firstServers(harness, 200, 200)).containsExactlyInAnyOrder(1, 2, 3, 4);
    }

    /** Each key is requested once, so that no random draw makes the two policies differ. */
    @Test
    void restoredStateSendsNoMoreToServersInSlowStart() {
        SplittableRandom random = new SplittableRandom(5);
        int sentInSlowStart = 0;
        for (int round = 0; round < 200; round++) {
            int servers = 2 + random.nextInt(8);
            PolicyHarness restored = harness(servers);
            PolicyHarness fresh = harness(servers);
            LearnedState learned = randomState(random, servers);
            int ageMs = random.nextInt(8000);
            int started = 1 + random.nextInt(servers);
            for (PolicyHarness harness : List.of(restored, fresh)) {
                harness.nowMs = 1e12;
                harness.withSteadyReads(0.2, 500, 10);
                harness.changeEndpoints(PolicyHarness.endpoint(started, EndpointState.READY, harness.nowMs - ageMs));
            }
            restored.policy.restore(restored.nowMs, learned);
            for (int i = 1; i <= 100; i++) {
                long key = random.nextLong();
                restored.read(i, key);
                fresh.read(i, key);
                if (firstServer(restored, i) == started) {
                    sentInSlowStart++;
                    assertThat(firstServer(fresh, i))
                            .as("round " + round + ", key " + key)
                            .isEqualTo(started);
                }
            }
        }
        assertThat(sentInSlowStart)
                .as("servers in slow start received some requests")
                .isPositive();
    }

    private static int firstServer(PolicyHarness harness, int request) {
        return harness.sentAttempts.stream()
                .filter(sent -> sent.requestId() == request && sent.attempt() == 0)
                .mapToInt(PolicyHarness.SentAttempt::serverId)
                .findFirst()
                .orElse(-1);
    }

    private static LearnedState randomState(SplittableRandom random, int servers) {
        List<LearnedServer> learnedServers = new ArrayList<>();
        for (int id = 1; id <= servers; id++) {
            if (random.nextInt(3) > 0) {
                learnedServers.add(new LearnedServer(
                        id, 0, 1 + random.nextInt(30_000), random.nextDouble() * 1e9, random.nextInt(5)));
            }
        }
        return new LearnedState(
                learnedServers,
                new LearnedLatency(random.nextDouble() * 1e3, 1, random.nextDouble() * 300, 1, 1),
                new LearnedLoad(random.nextInt(1000), random.nextInt(1000)),
                new LearnedLoad(random.nextInt(100), 100 + random.nextInt(1000)),
                new LearnedHotKeys(1e6, List.of(new LearnedHotKey(random.nextLong(), 1000))));
    }

    /**
     * A key's fair share at a server in slow start depends on the requests for all keys; restored counts of other keys
     * must not raise it.
     */
    @Test
    void restoredCountsDoNotRaiseFairShareInSlowStart() {
        int[] sent = new int[2];
        for (int k = 0; k < 2; k++) {
            for (int round = 0; round < 40; round++) {
                PolicyHarness harness = harness(8);
                harness.nowMs = 1e12;
                for (int id = 1; id <= 8; id++) {
                    harness.changeEndpoints(PolicyHarness.endpoint(id, EndpointState.READY, harness.nowMs - 7900));
                }
                if (k == 1) {
                    harness.policy.restore(
                            harness.nowMs,
                            new LearnedState(
                                    List.of(),
                                    LearnedState.NONE.latency(),
                                    LearnedState.NONE.originLoad(),
                                    LearnedState.NONE.serverLoad(),
                                    new LearnedHotKeys(1e6, List.of())));
                }
                for (int i = 1; i <= 5; i++) { // too few to make a key hot
                    harness.read(i, 77L + round);
                }
                sent[k] += (int) harness.sentAttempts.stream()
                        .filter(attempt -> attempt.serverId() != PolicyHarness.ORIGIN)
                        .count();
            }
        }
        assertThat(sent[1]).isEqualTo(sent[0]);
    }

    @Test
    void restoredLoadNeverOpensThrottle() {
        LearnedLoad overload = new LearnedLoad(400, 40);
        LearnedLoad noOverload = new LearnedLoad(400, 400);
        assertThat(rejectedFetches(LearnedState.NONE.serverLoad(), 0)).isZero();
        assertThat(rejectedFetches(overload, 0)).as("right after the restore").isGreaterThan(20);
        // If the origin answers nothing, restored answers must not admit more fetches than an empty state does.
        assertThat(rejectedFetches(noOverload, 200))
                .isGreaterThanOrEqualTo(rejectedFetches(LearnedState.NONE.serverLoad(), 200));
    }

    /**
     * Returns how many of 100 misses are not fetched while the origin answers, after {@code unanswered} misses whose
     * fetches it did not answer.
     */
    private static int rejectedFetches(LearnedLoad fetches, int unanswered) {
        PolicyHarness harness = harness(4);
        harness.policy.restore(
                harness.nowMs,
                new LearnedState(
                        List.of(),
                        LearnedState.NONE.latency(),
                        fetches,
                        LearnedState.NONE.serverLoad(),
                        LearnedState.NONE.hotKeys()));
        int rejected = 0;
        for (int i = 1; i <= unanswered + 100; i++) {
            int before = harness.rejected.size();
            harness.read(i, 5000L + i);
            harness.end(harness.lastSent(), AttemptOutcome.MISS);
            if (i > unanswered) {
                rejected += harness.rejected.size() > before ? 1 : 0;
                if (harness.lastSent().requestId() == i && harness.lastSent().serverId() == PolicyHarness.ORIGIN) {
                    harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 5);
                }
            }
        }
        return rejected;
    }

    @Test
    void spreadsRestoredHotKeyFromFirstRequest() {
        PolicyHarness first = harness(8);
        for (int i = 1; i <= 200; i++) {
            first.policy.onRequest(
                    first.nowMs,
                    new RoutingRequest(
                            i,
                            PolicyHarness.IDEMPOTENT,
                            0,
                            i % 2 == 0 ? 99 : 1000 + i,
                            first.nowMs + 1000,
                            Double.NaN,
                            0,
                            false,
                            false),
                    first);
            first.endAfter(first.lastSent(), AttemptOutcome.OK, 5);
        }
        LearnedState learned = first.policy.learnedState(first.nowMs, 10);
        assertThat(learned.hotKeys().keys()).first().satisfies(hotKey -> {
            assertThat(hotKey.key()).isEqualTo(99);
            assertThat(hotKey.count()).isEqualTo(100);
        });
        assertThat(first.policy.learnedState(first.nowMs, 0).hotKeys().keys()).isEmpty();
        PolicyHarness next = harness(8);
        next.policy.restore(next.nowMs, learned);
        Set<Integer> serverIds = new HashSet<>();
        for (int i = 1; i <= 5; i++) {
            next.read(i, 99);
            serverIds.add(next.lastSent().serverId());
        }
        assertThat(serverIds).hasSizeGreaterThan(1);
        PolicyHarness fresh = harness(8);
        serverIds.clear();
        for (int i = 1; i <= 5; i++) {
            fresh.read(i, 99);
            serverIds.add(fresh.lastSent().serverId());
        }
        assertThat(serverIds).hasSize(1);
    }

    @Test
    void boundsExportedHotKeys() {
        PolicyHarness harness = harness(300);
        for (int i = 1; i <= 60_000; i++) {
            harness.read(i, i / 6); // each key is hot for a short time
            harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 5);
        }
        assertThat(harness.policy
                        .learnedState(harness.nowMs, Integer.MAX_VALUE)
                        .hotKeys()
                        .keys())
                .hasSizeLessThanOrEqualTo(256)
                .isNotEmpty();
    }

    @Test
    void restoresLatenciesByTheirWeight() {
        LearnedLatency learned = new LearnedLatency(80, 3, 20, 4, 1);
        PolicyHarness harness = harness(4);
        LearnedLatency own = harness.policy.learnedState(harness.nowMs, 0).latency();
        harness.policy.restore(
                harness.nowMs,
                new LearnedState(
                        List.of(),
                        learned,
                        LearnedState.NONE.originLoad(),
                        LearnedState.NONE.serverLoad(),
                        LearnedState.NONE.hotKeys()));
        assertThat(harness.policy.learnedState(harness.nowMs, 0).latency()).isEqualTo(learned);
        PolicyHarness half = harness(4);
        half.policy.restore(
                half.nowMs,
                new LearnedState(
                        List.of(),
                        new LearnedLatency(80, 3, 20, 4, 0.5),
                        LearnedState.NONE.originLoad(),
                        LearnedState.NONE.serverLoad(),
                        LearnedState.NONE.hotKeys()));
        assertThat(half.policy.learnedState(half.nowMs, 0).latency().averageMs())
                .isEqualTo((own.averageMs() + 20) / 2);
        PolicyHarness none = harness(4);
        none.policy.restore(none.nowMs, LearnedState.NONE);
        assertThat(none.policy.learnedState(none.nowMs, 0).latency()).isEqualTo(own);
    }
}
