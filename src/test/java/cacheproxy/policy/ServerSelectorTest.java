package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The choice of a server from a list that has changed since the request arrived. */
class ServerSelectorTest {
    private static final int SERVERS = 20;
    private static final int REMAINING = 2;

    /** Makes key 7 so hot that it is spread over several servers; all requests are answered. */
    private static PolicyHarness harnessWithHotKey() {
        PolicyHarness harness = PolicyHarness.cacheAside().withFleet(SERVERS);
        for (int id = 1; id <= 400; id++) {
            harness.nowMs += 5;
            harness.read(id, id % 4 == 0 ? 7 : id + 1000);
            harness.end(harness.lastSent(), AttemptOutcome.OK);
        }
        return harness;
    }

    /**
     * Guards against an index out of range when a hot key's request is retried after the list has become shorter than
     * the key's spread.
     */
    @Test
    void hotKeyRetriesUseRemainingServersAfterListShrinks() {
        for (int firstRemaining = 1; firstRemaining <= SERVERS - REMAINING; firstRemaining++) {
            PolicyHarness harness = harnessWithHotKey();
            for (int id = 1001; id <= 1010; id++) {
                harness.read(id, 7);
            }
            Endpoint[] gone = new Endpoint[SERVERS - REMAINING];
            int next = 0;
            for (int id = 1; id <= SERVERS; id++) {
                if (id < firstRemaining || id >= firstRemaining + REMAINING) {
                    gone[next++] = PolicyHarness.endpoint(id, EndpointState.GONE, 0);
                }
            }
            harness.changeEndpoints(gone);
            int sent = harness.sentAttempts.size();
            for (PolicyHarness.SentAttempt attempt :
                    harness.sentAttempts.subList(sent - 10, sent).toArray(new PolicyHarness.SentAttempt[0])) {
                harness.end(attempt, AttemptOutcome.RESET);
            }
            assertThat(harness.sentAttempts.subList(sent, harness.sentAttempts.size()))
                    .as("retries with servers from %d on", firstRemaining)
                    .isNotEmpty()
                    .allMatch(attempt -> attempt.serverId() == PolicyHarness.ORIGIN
                            || attempt.serverId() == remainingServerOf(attempt, gone));
        }
    }

    /** Returns the server of an attempt; -1 if it is gone. */
    private static int remainingServerOf(PolicyHarness.SentAttempt attempt, Endpoint[] gone) {
        for (Endpoint endpoint : gone) {
            if (endpoint.id() == attempt.serverId()) {
                return -1;
            }
        }
        return attempt.serverId();
    }
}
