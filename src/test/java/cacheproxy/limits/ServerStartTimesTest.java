package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Start times estimated from refused and accepted connections. */
class ServerStartTimesTest {
    @Test
    void serverThatRefusedConnectionsCountsAsRestartedOnNextAccept() {
        ServerStartTimes startTimes = new ServerStartTimes();
        assertThat(startTimes.startMs(1)).isZero();
        assertThat(startTimes.connectionAccepted(1, 50)).isFalse();
        startTimes.connectionRefused(1);
        startTimes.connectionRefused(1);
        assertThat(startTimes.startMs(1)).isZero();
        assertThat(startTimes.connectionAccepted(1, 100)).isTrue();
        assertThat(startTimes.connectionAccepted(1, 200)).isFalse();
        assertThat(startTimes.startMs(1)).isEqualTo(100);
        startTimes.added(2, 300);
        startTimes.added(1, 300);
        assertThat(startTimes.startMs(1)).isEqualTo(100);
        startTimes.retainAll(Set.of(1));
        assertThat(startTimes.startMs(2)).isZero();
    }
}
