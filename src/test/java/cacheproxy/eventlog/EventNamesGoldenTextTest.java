package cacheproxy.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The event names of the log lines, and the environment variable that enables the log. */
class EventNamesGoldenTextTest {
    @Test
    void eventsHaveGoldenLabels() {
        assertThat(Arrays.stream(ProxyEvent.values()).map(ProxyEvent::label))
                .containsExactly(
                        "request_received",
                        "request_answered",
                        "request_abandoned",
                        "attempt_started",
                        "attempt_ended",
                        "client_ended",
                        "client_closed",
                        "server_connected",
                        "server_disconnected",
                        "server_listed",
                        "slow_start_began",
                        "slow_start_ended",
                        "discovery_called",
                        "discovery_answered",
                        "discovery_failed",
                        "state_changed",
                        "action_stopped",
                        "invariant_violated",
                        "lines_dropped");
    }

    @Test
    void environmentVariableEnablesLog() {
        assertThat(EventLog.ENVIRONMENT_VARIABLE).isEqualTo("CORALBAY_EVENT_LOG");
        assertThat(EventLog.ENABLED_VALUE).isEqualTo("on");
    }
}
