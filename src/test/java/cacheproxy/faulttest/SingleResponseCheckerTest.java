package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.SingleResponseChecker;
import org.junit.jupiter.api.Test;

/** The single response checker: violations, and what kills, pauses and shutdowns excuse. */
class SingleResponseCheckerTest {
    private final HistoryFixture history = new HistoryFixture();

    @Test
    void findsDuplicateMissingWrongAndLateResponses() throws Exception {
        history.addValidRequests().at(500, "p1", Event.RESPONSE_RECEIVED, "r3", "served", 0);
        assertThat(history.violations(new SingleResponseChecker()).messages())
                .singleElement()
                .asString()
                .contains("r3 was answered twice");
        history.at(700, "p1", Event.REQUEST_SENT, "x", "read", 1000)
                .at(710, "p1", Event.RESPONSE_RECEIVED, "x", "wrong", 0);
        assertThat(history.violations(new SingleResponseChecker()).count()).isEqualTo(2);
        history.at(1000, "p1", Event.REQUEST_SENT, "y", "read", 1000);
        assertThat(history.violations(new SingleResponseChecker()).messages())
                .last()
                .asString()
                .contains("y at p1 never had an answer");
        history.at(2000, "p1", Event.REQUEST_SENT, "z", "read", 1000)
                .at(3600, "p1", Event.RESPONSE_RECEIVED, "z", "served", 0);
        assertThat(history.violations(new SingleResponseChecker()).count()).isEqualTo(4);
        history.at(3000, "p1", Event.REQUEST_SENT, "u", "read", 1000)
                .at(7000, "p1", Event.CLIENT_TIMED_OUT, "u", "", 0);
        assertThat(history.violations(new SingleResponseChecker()).count()).isEqualTo(5);
        history.at(3000, "p1", Event.REQUEST_SENT, "v", "read", 1000)
                .at(3100, "p1", Event.CONNECTION_CLOSED, "v", "", 0);
        assertThat(history.violations(new SingleResponseChecker()).count()).isEqualTo(6);
    }

    @Test
    void excusesOnlyRequestsOfKilledOrPausedProcesses() throws Exception {
        history.addValidRequests()
                .at(1000, "p1", Event.REQUEST_SENT, "killed", "read", 1000)
                .at(1100, "p1", Event.PROCESS_KILLED, "", "", 0)
                .at(1101, "p1", Event.CONNECTION_CLOSED, "killed", "", 0)
                .at(1102, "p1", Event.PROCESS_EXITED, "", "", 137)
                .at(3000, "p1", Event.PROCESS_READY, "", "", 0);
        history.at(5000, "p2", Event.PROCESS_PAUSED, "", "", 0)
                .at(5010, "p2", Event.REQUEST_SENT, "stopped", "read", 1000)
                .at(9000, "p2", Event.PROCESS_RESUMED, "", "", 0)
                .at(9005, "p2", Event.RESPONSE_RECEIVED, "stopped", "failed", 0);
        assertThat(history.violations(new SingleResponseChecker()).messages()).isEmpty();
        // p3 was neither killed nor paused.
        history.at(5010, "p3", Event.REQUEST_SENT, "other", "read", 1000)
                .at(9005, "p3", Event.RESPONSE_RECEIVED, "other", "failed", 0);
        assertThat(history.violations(new SingleResponseChecker()).messages())
                .singleElement()
                .asString()
                .contains("other at p3");
    }

    @Test
    void excusesConnectionClosedByShutdownUnlessRequestWasForwarded() throws Exception {
        history.addValidRequests()
                .at(1000, "p1", Event.PROCESS_TERMINATING, "", "", 0)
                .at(1300, "p1", Event.REQUEST_SENT, "c", "read", 1000)
                .at(1301, "p1", Event.CONNECTION_CLOSED, "c", "", 0)
                .at(1302, "p2", Event.REQUEST_SENT, "c", "read", 1000)
                .at(1310, "p2", Event.RESPONSE_RECEIVED, "c", "served", 0)
                .at(2500, "p1", Event.PROCESS_EXITED, "", "", 143);
        assertThat(history.violations(new SingleResponseChecker()).messages()).isEmpty();
        history.at(1400, "p1", Event.REQUEST_SENT, "d", "read", 1000)
                .at(1402, "n1", Event.COMMAND_ARRIVED, "d", "", 0)
                .at(1404, "p1", Event.CONNECTION_CLOSED, "d", "", 0);
        assertThat(history.violations(new SingleResponseChecker()).messages())
                .singleElement()
                .asString()
                .contains("d at p1 lost its connection");
    }

    @Test
    void findsAcceptedRequestsDroppedByShutdown() throws Exception {
        history.addValidRequests()
                .at(1000, "p1", Event.PROCESS_TERMINATING, "", "", 0)
                .at(990, "p1", Event.REQUEST_SENT, "w", "keyed", 1000)
                .at(995, "origin", Event.WRITE_APPLIED, "w", "", 0)
                .at(1500, "p1", Event.CONNECTION_CLOSED, "w", "", 0)
                .at(1501, "p1", Event.PROCESS_EXITED, "", "", 143)
                .at(4000, "p1", Event.PROCESS_READY, "", "", 0);
        assertThat(history.violations(new SingleResponseChecker()).messages())
                .singleElement()
                .asString()
                .contains("w at p1 lost its connection");
        history.at(985, "p1", Event.REQUEST_SENT, "never", "read", 1000);
        assertThat(history.violations(new SingleResponseChecker()).messages())
                .last()
                .asString()
                .contains("never at p1 never had an answer");
        history.at(980, "p1", Event.REQUEST_SENT, "late", "read", 1000)
                .at(3500, "p1", Event.RESPONSE_RECEIVED, "late", "served", 0);
        assertThat(history.violations(new SingleResponseChecker()).count()).isEqualTo(3);
    }
}
