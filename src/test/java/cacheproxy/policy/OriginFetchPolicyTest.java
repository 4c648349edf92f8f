package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Coalescing and throttling of fetches from the origin. */
class OriginFetchPolicyTest {
    /**
     * Of several requests that miss for one key, one fetches; the others then find the object at the server that missed
     * it.
     */
    @Test
    void coalescesFetchesOfOneKey() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        for (int id = 1; id <= 4; id++) {
            harness.read(id, 7);
        }
        for (PolicyHarness.SentAttempt sent : List.copyOf(harness.sentAttempts)) {
            harness.end(sent, AttemptOutcome.MISS);
        }
        assertThat(harness.sentAttempts.stream().filter(sent -> sent.serverId() == PolicyHarness.ORIGIN))
                .hasSize(1);
        harness.end(harness.lastSent(), AttemptOutcome.OK);
        assertThat(harness.sentAttempts).hasSize(8);
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.topRank(7, 5));
    }

    /** The origin rejects every fetch, so that fewer and fewer are sent. */
    @Test
    void throttlesFetchesFromOverloadedOrigin() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        int lateFetches = 0;
        for (int id = 1; id <= 100; id++) {
            harness.nowMs += 20;
            harness.read(id, id);
            harness.end(harness.lastSent(), AttemptOutcome.MISS);
            if (harness.lastSent().serverId() == PolicyHarness.ORIGIN) {
                lateFetches += id > 50 ? 1 : 0;
                harness.end(harness.lastSent(), AttemptOutcome.FULL);
            }
        }
        assertThat(lateFetches).isLessThan(15);
        assertThat(harness.rejected).hasSize(100);
    }

    /** The origin answers too late, so that few fetches are sent; without load the throttle opens again. */
    @Test
    void reopensOriginThrottle() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(5);
        int fetched = 0;
        for (int id = 1; id <= 200; id++) {
            harness.nowMs += 20;
            harness.read(id, id);
            harness.end(harness.lastSent(), AttemptOutcome.MISS);
            if (harness.lastSent().serverId() == PolicyHarness.ORIGIN) {
                fetched++;
                harness.nowMs += 900;
                harness.endAfter(harness.lastSent(), AttemptOutcome.OK, 900);
            }
        }
        assertThat(fetched).isLessThan(150);
        harness.nowMs += 30000;
        harness.read(1000, 1000);
        harness.end(harness.lastSent(), AttemptOutcome.MISS);
        assertThat(harness.lastSent().serverId()).isEqualTo(PolicyHarness.ORIGIN);
    }
}
