package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Ejection of failing servers and half-open probes. */
class OutlierEjectionTest {
    /** If health checks are allowed, one of them is the half-open probe, rather than a client's request. */
    @Test
    void probesEjectedServerBeforeItGetsRequests() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(3);
        long key = 1;
        while (PolicyHarness.topRank(key, 3) != 2) {
            key++;
        }
        harness.read(1, key);
        harness.end(harness.lastSent(), AttemptOutcome.CONNECT_FAILED);
        harness.end(harness.lastSent(), AttemptOutcome.OK);
        harness.nowMs += 1100;
        harness.read(2, key);
        assertThat(harness.lastSent().serverId()).isNotEqualTo(2);
        assertThat(harness.probedServers).containsExactly(2);
        harness.policy.onProbeResult(harness.nowMs, 2, AttemptOutcome.OK, 3, null, harness);
        harness.read(3, key);
        assertThat(harness.lastSent().serverId()).isEqualTo(2);
    }

    /**
     * Guards against a server that stays ejected because slow start rejects its half-open probe, which then has no
     * result.
     */
    @Test
    void probeRejectedBySlowStartDoesNotKeepServerEjected() {
        PolicyHarness harness = new PolicyHarness(
                        PolicyHarness.withoutProbing(PolicyHarness.settings(true, false, true, DeduplicationScope.ALL)))
                .withFleet(8)
                .withSteadyReads(1, 1000, 10);
        harness.changeEndpoints(PolicyHarness.endpoint(2, EndpointState.READY, harness.nowMs));
        int id = 1;
        for (long key = 1; harness.sentAttempts.isEmpty() || harness.lastSent().serverId() != 2; key++) {
            harness.read(id++, key);
        }
        harness.end(harness.lastSent(), AttemptOutcome.CONNECT_FAILED, true, 0);
        harness.nowMs += 1100; // no longer ejected but in slow start, which admits few keys
        for (long key = 1; key <= 400; key++) {
            int sentBefore = harness.sentAttempts.size();
            harness.read(id++, key);
            if (harness.sentAttempts.size() > sentBefore) {
                harness.end(
                        harness.lastSent(),
                        harness.lastSent().serverId() == 2 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK,
                        true,
                        0);
            }
            harness.nowMs += 10;
        }
        harness.nowMs += 16_000; // warmed up and no longer ejected
        harness.sentAttempts.clear();
        for (long key = 1; key <= 400; key++) {
            harness.read(id++, key);
            harness.end(harness.lastSent(), AttemptOutcome.OK);
        }
        assertThat(harness.sentAttempts.stream()
                        .filter(sent -> sent.serverId() == 2)
                        .count())
                .isGreaterThan(20);
    }

    /**
     * Guards against a server that stays ejected because its half-open probe is shed under overload and then has no
     * result.
     */
    @Test
    void shedProbeDoesNotKeepServerEjected() {
        PolicyHarness harness = new PolicyHarness(
                        PolicyHarness.withoutProbing(PolicyHarness.settings(true, false, true, DeduplicationScope.ALL)))
                .withFleet(12);
        harness.read(1, 77);
        int ejected = harness.lastSent().serverId();
        harness.end(harness.lastSent(), AttemptOutcome.CONNECT_FAILED);
        for (int id = 2; id <= 400; id++) { // all other servers answer late, which indicates overload
            harness.nowMs += 10;
            int sentBefore = harness.sentAttempts.size();
            harness.read(id, id);
            if (harness.sentAttempts.size() > sentBefore) {
                harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 290);
            }
        }
        int id = 1000;
        for (int rejectedBefore = harness.rejected.size(); harness.rejected.size() < rejectedBefore + 5; id++) {
            int sentBefore = harness.sentAttempts.size();
            harness.read(id, 77);
            if (harness.sentAttempts.size() > sentBefore) {
                harness.end(harness.lastSent(), AttemptOutcome.CONNECT_FAILED, true, 0);
                harness.nowMs += 8000; // the ejection is over, the overload is not
                for (int other = 2; other <= 400; other++) {
                    int before = harness.sentAttempts.size();
                    harness.read(id * 1000 + other, other);
                    if (harness.sentAttempts.size() > before) {
                        harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 290);
                    }
                }
            }
        }
        Set<Integer> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            harness.nowMs += 2000;
            harness.read(++id, 77);
            used.add(harness.lastSent().serverId());
            harness.end(harness.lastSent(), AttemptOutcome.OK);
        }
        assertThat(used).contains(ejected);
    }
}
