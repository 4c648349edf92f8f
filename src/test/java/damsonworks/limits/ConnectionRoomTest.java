package damsonworks.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Who makes room, without sockets. */
class ConnectionRoomTest {
    @Test
    void servedOnesGoFirstThenSilentOnesThenThoseThatHaveStoppedWriting() {
        double served = ConnectionRoom.rank(true, true, false, 0);
        double silent = ConnectionRoom.rank(true, false, false, 100_000);
        double stopped = ConnectionRoom.rank(false, false, false, 100_000);
        assertThat(served).isGreaterThan(silent);
        assertThat(silent).isGreaterThan(stopped);
        assertThat(stopped).isPositive();
    }

    @Test
    void withinAKindTheOneQuietLongestGoesFirst() {
        for (boolean idle : new boolean[] {true, false}) {
            for (boolean asked : new boolean[] {true, false}) {
                assertThat(ConnectionRoom.rank(idle, asked, false, 1001)).isGreaterThan(ConnectionRoom.rank(idle, asked, false, 1000));
            }
        }
    }

    @Test
    void whoIsOwedAnAnswerHasJustComeOrGoesOnWritingStays() {
        assertThat(ConnectionRoom.rank(true, true, true, 1e9)).isNegative();
        assertThat(ConnectionRoom.rank(false, true, true, 1e9)).isNegative();
        assertThat(ConnectionRoom.rank(true, false, false, ConnectionRoom.BEGIN_MS - 1)).isNegative();
        assertThat(ConnectionRoom.rank(true, false, false, ConnectionRoom.BEGIN_MS)).isPositive();
        assertThat(ConnectionRoom.rank(false, false, false, ConnectionRoom.PAUSE_MS - 1)).isNegative();
        assertThat(ConnectionRoom.rank(false, true, false, ConnectionRoom.PAUSE_MS - 1)).isNegative();
        assertThat(ConnectionRoom.rank(false, false, false, ConnectionRoom.PAUSE_MS)).isPositive();
    }

    @Test
    void aClockThatWentBackDoesNotMoveAServedOneBelowASilentOne() {
        assertThat(ConnectionRoom.rank(true, true, false, -5)).isGreaterThan(ConnectionRoom.rank(true, false, false, 1e9));
    }
}
