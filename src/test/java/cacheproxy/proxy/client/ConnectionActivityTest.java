package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which clients count as stalled, on a clock that the test controls. */
class ConnectionActivityTest {
    private static final double START_MS = 1000;

    private final ConnectionActivity activity = new ConnectionActivity();

    @BeforeEach
    void accept() {
        activity.accepted(START_MS);
    }

    private boolean isStalledSilent(double afterMs) {
        return activity.isStalled(START_MS + afterMs, false, false, true);
    }

    private boolean isStalledWithinRequest(double afterMs) {
        return activity.isStalled(START_MS + afterMs, false, true, false);
    }

    private boolean isStalledWithUnwrittenBytes(double afterMs) {
        return activity.isStalled(START_MS + afterMs, true, false, false);
    }

    @Test
    void aSilentClientIsStalledAfterTwoSeconds() {
        assertThat(isStalledSilent(2000)).isFalse();
        assertThat(isStalledSilent(2001)).isTrue();
        activity.commandReceived();
        assertThat(isStalledSilent(3_600_000))
                .as("a client may be idle between requests")
                .isFalse();
    }

    @Test
    void aClientThatPausesWithinARequestIsStalledLater() {
        assertThat(isStalledWithinRequest(2600)).isFalse();
        assertThat(isStalledWithinRequest(2601)).isTrue();
        activity.active(START_MS + 1000);
        assertThat(isStalledWithinRequest(2601)).as("the first request is late").isTrue();
        activity.commandReceived();
        assertThat(isStalledWithinRequest(3600)).isFalse();
        assertThat(isStalledWithinRequest(3601)).isTrue();
    }

    @Test
    void aClientThatTakesNothingIsStalledAfterTenSeconds() {
        activity.commandReceived();
        assertThat(isStalledWithUnwrittenBytes(10_000)).isFalse();
        assertThat(isStalledWithUnwrittenBytes(10_001)).isTrue();
        activity.responseWritten(START_MS + 5000);
        assertThat(isStalledWithUnwrittenBytes(15_000)).isFalse();
        assertThat(isStalledWithUnwrittenBytes(15_001)).isTrue();
    }

    @Test
    void aClientThatWaitsForItsResponseIsNotStalled() {
        activity.commandReceived();
        assertThat(activity.isStalled(START_MS + 60_000, false, false, false)).isFalse();
    }

    @Test
    void aClientHasHadTimeToSendACommandOnceItHasSentOneOrAfterHalfASecond() {
        assertThat(activity.hasHadTimeToSendCommand(START_MS + 500)).isFalse();
        assertThat(activity.hasHadTimeToSendCommand(START_MS + 501)).isTrue();
        assertThat(activity.hasSentCommand()).isFalse();
        activity.commandReceived();
        assertThat(activity.hasSentCommand()).isTrue();
        assertThat(activity.hasHadTimeToSendCommand(START_MS)).isTrue();
    }

    @Test
    void aResponseMayBeInTransitForATenthOfASecond() {
        assertThat(activity.mayNotHaveLastResponse(START_MS))
                .as("no response was written")
                .isFalse();
        activity.responseWritten(START_MS + 1000);
        assertThat(activity.mayNotHaveLastResponse(START_MS + 1099)).isTrue();
        assertThat(activity.mayNotHaveLastResponse(START_MS + 1100)).isFalse();
        assertThat(activity.inactiveMs(START_MS + 1100)).isEqualTo(100);
    }
}
