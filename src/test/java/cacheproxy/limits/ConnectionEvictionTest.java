package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The eviction order of client connections. */
class ConnectionEvictionTest {
    @Test
    void evictsServedThenUnusedThenStalledConnections() {
        double served = ConnectionEviction.rank(true, true, false, 0);
        double unused = ConnectionEviction.rank(true, false, false, 100_000);
        double stalled = ConnectionEviction.rank(false, false, false, 100_000);
        assertThat(served).isGreaterThan(unused);
        assertThat(unused).isGreaterThan(stalled);
        assertThat(stalled).isPositive();
    }

    @Test
    void evictsLongestQuietConnectionFirstWithinAClass() {
        for (boolean idle : new boolean[] {true, false}) {
            for (boolean hasServedRequest : new boolean[] {true, false}) {
                assertThat(ConnectionEviction.rank(idle, hasServedRequest, false, 1001))
                        .isGreaterThan(ConnectionEviction.rank(idle, hasServedRequest, false, 1000));
            }
        }
    }

    @Test
    void keepsConnectionsWithPendingResponseFirstRequestGraceOrRecentWrites() {
        assertThat(ConnectionEviction.rank(true, true, true, 1e9)).isNegative();
        assertThat(ConnectionEviction.rank(false, true, true, 1e9)).isNegative();
        assertThat(ConnectionEviction.rank(true, false, false, ConnectionEviction.FIRST_REQUEST_GRACE_MS - 1))
                .isNegative();
        assertThat(ConnectionEviction.rank(true, false, false, ConnectionEviction.FIRST_REQUEST_GRACE_MS))
                .isPositive();
        assertThat(ConnectionEviction.rank(false, false, false, ConnectionEviction.STALLED_WRITE_MS - 1))
                .isNegative();
        assertThat(ConnectionEviction.rank(false, true, false, ConnectionEviction.STALLED_WRITE_MS - 1))
                .isNegative();
        assertThat(ConnectionEviction.rank(false, false, false, ConnectionEviction.STALLED_WRITE_MS))
                .isPositive();
    }

    @Test
    void ranksServedAboveUnusedWhenClockWentBack() {
        assertThat(ConnectionEviction.rank(true, true, false, -5))
                .isGreaterThan(ConnectionEviction.rank(true, false, false, 1e9));
    }
}
