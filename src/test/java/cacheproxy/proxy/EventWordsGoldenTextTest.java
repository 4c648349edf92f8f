package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests the enum constants of the routing interface that the event log's fields contain unchanged. */
class EventWordsGoldenTextTest {
    @Test
    void outcomesOfAttempts() {
        assertThat(AttemptOutcome.values())
                .extracting(Object::toString)
                .containsExactly(
                        "OK", "MISS", "ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "NOT_SENT");
    }

    @Test
    void statesOfServersAndKindsOfLists() {
        assertThat(EndpointState.values()).extracting(Object::toString).containsExactly("GONE", "DRAINING", "READY");
        assertThat(EndpointListKind.values())
                .extracting(Object::toString)
                .containsExactly("FULL", "CHANGES", "CACHED", "FAILED");
    }
}
