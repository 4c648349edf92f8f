package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Rejection of requests under overload. */
class LoadShedderTest {
    /**
     * Under overload many requests of the tenant far over its quota are rejected, and few of the tenant within its
     * quota.
     */
    @Test
    void rejectsTenantOverItsQuotaFirst() {
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settingsOfTwoTenants(100, 100)).withFleet(12);
        int[] rejected = new int[2];
        for (int id = 1; id <= 1000; id++) {
            harness.nowMs += 10;
            int tenant = id % 10 == 0 ? 1 : 0;
            int before = harness.rejected.size();
            harness.policy.onRequest(
                    harness.nowMs,
                    new RoutingRequest(
                            id,
                            PolicyHarness.IDEMPOTENT,
                            tenant,
                            id,
                            harness.nowMs + 1000,
                            Double.NaN,
                            0,
                            false,
                            false),
                    harness);
            if (harness.rejected.size() > before) {
                rejected[tenant]++;
            } else {
                harness.endAfter(harness.lastSent(), AttemptOutcome.OK, id % 2 == 0 ? 290 : 20);
            }
        }
        assertThat(rejected[0]).isGreaterThan(150);
        assertThat(rejected[1]).isLessThan(10);
    }

    /** Late responses cause shedding; responses in time end it. */
    @Test
    void shedsReadsWhileServersAreOverloaded() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(12);
        for (int id = 1; id <= 300; id++) {
            harness.nowMs += 10;
            int sentBefore = harness.sentAttempts.size();
            harness.read(id, id);
            if (harness.sentAttempts.size() > sentBefore) {
                harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 290);
            }
        }
        assertThat(harness.rejected).hasSizeGreaterThan(150);
        harness.nowMs += 60000;
        harness.rejected.clear();
        for (int id = 1001; id <= 1300; id++) {
            harness.nowMs += 10;
            harness.read(id, id);
            harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 20);
        }
        assertThat(harness.rejected).isEmpty();
    }

    /** A few hung servers are not an overload: their timeouts cause no rejections of requests to other servers. */
    @Test
    void doesNotShedBecauseOfHungServers() {
        PolicyHarness harness =
                new PolicyHarness(PolicyHarness.settings(true, false, true, DeduplicationScope.ALL)).withFleet(12);
        List<PolicyHarness.SentAttempt> hung = new ArrayList<>();
        for (int id = 1; id <= 600; id++) {
            harness.advanceTime(10);
            int sentBefore = harness.sentAttempts.size();
            harness.read(id, id);
            if (harness.sentAttempts.size() > sentBefore) {
                if (harness.lastSent().serverId() <= 2) {
                    hung.add(harness.lastSent());
                } else {
                    harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 20);
                }
            }
        }
        assertThat(hung).hasSizeBetween(2, 60);
        assertThat(harness.rejected.stream().filter(id -> hung.stream().noneMatch(sent -> sent.requestId() == id)))
                .isEmpty();
    }
}
