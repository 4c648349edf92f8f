package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The requests that a server receives while it warms up. */
class SlowStartTest {
    private static final double READS_PER_MS = 10;
    /** For how long there are reads before a server starts. */
    private static final double KNOWN_TRAFFIC_MS = 2000;

    /**
     * The server accepts 0.3 of its keys at its start, 0.65 halfway through its slow start, and all of them afterwards.
     */
    @Test
    void limitsServerInSlowStartToItsCapacity() {
        assertThat(acceptedFraction(0, false)).isBetween(0.26, 0.34);
        assertThat(acceptedFraction(4000, false)).isBetween(0.6, 0.7);
        assertThat(acceptedFraction(8000, false)).isEqualTo(1.0);
    }

    /**
     * A wrong clock or late changes of the list must not make a server seem older than it is. The newest server of the
     * first list is treated as just started, whatever the proxy's clock says.
     */
    @Test
    void detectsSlowStartWhateverTheWallClockSays() {
        for (double clockErrorMs : new double[] {-3_600_000, 0, 3_600_000}) {
            int ownKeys = 0;
            int accepted = 0;
            for (int seed = 1; seed <= 8; seed++) {
                PolicySettings settings = PolicyHarness.settings(true, false, false, DeduplicationScope.ALL);
                PolicyHarness harness = new PolicyHarness(settings, new RoutingPolicy(settings, seed));
                harness.nowMs = 10_000_000 + clockErrorMs - KNOWN_TRAFFIC_MS;
                harness.withFleet(12).withSteadyReads(READS_PER_MS, KNOWN_TRAFFIC_MS, 10);
                harness.changeEndpoints(PolicyHarness.endpoint(5, EndpointState.READY, 10_000_000));
                for (int key = 1; key <= 4000; key++) {
                    if (PolicyHarness.topRank(key, 12) == 5) {
                        harness.read(key, key);
                        ownKeys++;
                        accepted += harness.lastSent().serverId() == 5 ? 1 : 0;
                        harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 10);
                        harness.nowMs += 12 / READS_PER_MS;
                    }
                }
            }
            assertThat((double) accepted / ownKeys)
                    .as("clock wrong by %s ms", clockErrorMs)
                    .isBetween(0.2, 0.36);
        }
    }

    /**
     * Under overload a server in slow start accepts two thirds of its usual fraction, however great the overload: if it
     * were kept empty, it would not relieve the other servers.
     */
    @Test
    void boundsReductionOfSlowStartUnderOverload() {
        assertThat(acceptedFraction(0, true)).isBetween(0.16, 0.24);
        assertThat(acceptedFraction(4000, true)).isBetween(0.38, 0.48);
    }

    /** A proxy that has just started cannot recognize a hot key by its first request, so it sends only a fraction. */
    @Test
    void newProxySendsLessToServerInSlowStart() {
        int sentCount = 0;
        for (int key = 1; key <= 2000; key++) {
            PolicySettings settings = PolicyHarness.settings(true, false, false, DeduplicationScope.ALL);
            PolicyHarness harness = new PolicyHarness(settings, new RoutingPolicy(settings, key)).withFleet(12);
            harness.nowMs = 100000 - 4000;
            harness.changeEndpoints(PolicyHarness.endpoint(5, EndpointState.READY, harness.nowMs));
            harness.nowMs = 100000;
            harness.read(key, key);
            sentCount +=
                    PolicyHarness.topRank(key, 12) == 5 && harness.lastSent().serverId() == 5 ? 1 : 0;
        }
        // 0.65 of a quarter of about 167 keys; a proxy that has seen many requests sends 108.
        assertThat(sentCount).isBetween(15, 40);
    }

    /** Returns the fraction of its own keys that server 5 receives at an age, of those that are not rejected. */
    private static double acceptedFraction(double ageMs, boolean overloaded) {
        int ownKeys = 0;
        int accepted = 0;
        for (int seed = 1; seed <= 8; seed++) {
            PolicySettings settings = PolicyHarness.settings(true, false, false, DeduplicationScope.ALL);
            PolicyHarness harness = new PolicyHarness(settings, new RoutingPolicy(settings, seed));
            harness.nowMs = 100000 - ageMs - KNOWN_TRAFFIC_MS;
            double answeredAfterMs = overloaded ? 900 : 10; // under overload three in four responses are late
            harness.withFleet(12).withSteadyReads(READS_PER_MS, KNOWN_TRAFFIC_MS, answeredAfterMs);
            harness.changeEndpoints(PolicyHarness.endpoint(
                    5, EndpointState.READY, harness.nowMs)); // the list reports a start soon after it
            harness.withSteadyReads(READS_PER_MS, ageMs, answeredAfterMs);
            harness.sentAttempts.add(new PolicyHarness.SentAttempt(0, 0, 0, 0)); // there is a last one
            for (int key = 1; key <= 4000; key++) {
                if (PolicyHarness.topRank(key, 12) == 5) {
                    harness.read(key, key);
                    if (harness.lastSent().requestId() == key) { // not rejected
                        ownKeys++;
                        accepted += harness.lastSent().serverId() == 5 ? 1 : 0;
                        harness.endAfter(harness.lastSent(), AttemptOutcome.OK, overloaded && key % 4 > 0 ? 900 : 10);
                    }
                    harness.nowMs += 12 / READS_PER_MS;
                }
            }
        }
        return (double) accepted / ownKeys;
    }

    /** Guards against retries that make the servers of a zone collapse when all of them restart at once. */
    @Test
    void sendsNoRetriesToServerInSlowStart() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(3);
        harness.changeEndpoints(
                PolicyHarness.endpoint(2, EndpointState.READY, harness.nowMs),
                PolicyHarness.endpoint(3, EndpointState.READY, harness.nowMs));
        for (int id = 1; id <= 200; id++) {
            harness.read(id, id);
            PolicyHarness.SentAttempt sent = harness.lastSent();
            if (sent.serverId() == 1) {
                harness.end(sent, AttemptOutcome.FULL);
                assertThat(harness.lastSent().serverId()).isNotIn(2, 3);
            }
            harness.end(harness.lastSent(), AttemptOutcome.OK);
        }
    }

    /** Lists that are late or out of order, or a server that is removed and back, do not make it warm. */
    @Test
    void staysInSlowStartWhenAListWithdrawsItsStart() {
        for (boolean removed : new boolean[] {false, true}) {
            PolicyHarness harness = PolicyHarness.cacheAside().withFleet(3);
            harness.changeEndpoints(PolicyHarness.endpoint(2, EndpointState.READY, harness.nowMs));
            harness.nowMs += 1000;
            EndpointState between = removed ? EndpointState.GONE : EndpointState.DRAINING;
            harness.changeEndpoints(PolicyHarness.endpoint(2, between, 0));
            harness.nowMs += 1000;
            harness.changeEndpoints(PolicyHarness.endpoint(2, EndpointState.READY, 0));
            assertThat(harness.policy.slowStart(harness.nowMs, 2))
                    .matches(SlowStartStatus::warmingUp)
                    .satisfies(status -> assertThat(status.ageMs()).isEqualTo(2000));
            harness.nowMs += 5999;
            assertThat(harness.policy.slowStarts(harness.nowMs)).hasSize(1);
            harness.nowMs += 1;
            assertThat(harness.policy.slowStarts(harness.nowMs))
                    .as("warm in the end")
                    .isEmpty();
        }
    }
}
