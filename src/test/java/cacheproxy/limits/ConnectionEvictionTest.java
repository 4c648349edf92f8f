package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Who makes room, without sockets. */
class ConnectionEvictionTest {
    @Test
    void servedOnesGoFirstThenSilentOnesThenThoseThatHaveStoppedWriting() {
        double served = ConnectionEviction.rank(true, true, false, 0);
        double silent = ConnectionEviction.rank(true, false, false, 100_000);
        double stopped = ConnectionEviction.rank(false, false, false, 100_000);
        assertThat(served).isGreaterThan(silent);
        assertThat(silent).isGreaterThan(stopped);
        assertThat(stopped).isPositive();
    }

    @Test
    void withinAKindTheOneQuietLongestGoesFirst() {
        for (boolean idle : new boolean[] {true, false}) {
            for (boolean asked : new boolean[] {true, false}) {
                assertThat(ConnectionEviction.rank(idle, asked, false, 1001))
                        .isGreaterThan(ConnectionEviction.rank(idle, asked, false, 1000));
            }
        }
    }

    @Test
    void whoIsOwedAnAnswerHasJustComeOrGoesOnWritingStays() {
        assertThat(ConnectionEviction.rank(true, true, true, 1e9)).isNegative();
        assertThat(ConnectionEviction.rank(false, true, true, 1e9)).isNegative();
        assertThat(ConnectionEviction.rank(true, false, false, ConnectionEviction.BEGIN_MS - 1))
                .isNegative();
        assertThat(ConnectionEviction.rank(true, false, false, ConnectionEviction.BEGIN_MS))
                .isPositive();
        assertThat(ConnectionEviction.rank(false, false, false, ConnectionEviction.PAUSE_MS - 1))
                .isNegative();
        assertThat(ConnectionEviction.rank(false, true, false, ConnectionEviction.PAUSE_MS - 1))
                .isNegative();
        assertThat(ConnectionEviction.rank(false, false, false, ConnectionEviction.PAUSE_MS))
                .isPositive();
    }

    @Test
    void aClockThatWentBackDoesNotMoveAServedOneBelowASilentOne() {
        assertThat(ConnectionEviction.rank(true, true, false, -5))
                .isGreaterThan(ConnectionEviction.rank(true, false, false, 1e9));
    }
}
