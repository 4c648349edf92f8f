package cacheproxy.snapshot.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Decay of learned state, and which of it is still valid after a restart. */
class StateDecayTest {
    private static final double HOUR_MS = 3_600_000;
    private static final LearnedState STATE = new LearnedState(
            List.of(new LearnedServer(1, 0, 3, 20_000, 1), new LearnedServer(2, 50, 1, 2_500, 0)),
            new LearnedLatency(80, 3, 20, 4, 1),
            new LearnedLoad(100, 50),
            new LearnedLoad(200, 190),
            new LearnedHotKeys(1000, List.of(new LearnedHotKey(7, 400), new LearnedHotKey(8, 1))));
    private static final StateSnapshot SNAPSHOT = new StateSnapshot(
            "site",
            2,
            1e12,
            9,
            Map.of("a", new PoolState("carp", STATE, Map.of(1, "10.0.0.1:1", 2, "10.0.0.2:1"))),
            List.of(new ServerStart(1, "10.0.0.1:1", 1e12 - 5000, false)));

    @Test
    void keepsAllStateAtAgeZero() {
        assertThat(StateDecay.decay(STATE, 0, 1)).isEqualTo(STATE);
    }

    @Test
    void eachKindDecaysWithItsOwnHalfLife() {
        LearnedState decayed = StateDecay.decay(STATE, 10_000, 1);
        assertThat(decayed.servers()).hasSize(2);
        assertThat(decayed.servers().get(0).failures()).isEqualTo(3);
        assertThat(decayed.servers().get(0).ejectedForMs()).isEqualTo(10_000);
        assertThat(decayed.servers().get(1).ejectedForMs())
                .as("its ejection is over, so it may be probed")
                .isZero();
        assertThat(decayed.servers().get(1).failures()).isEqualTo(1);
        assertThat(decayed.serverLoad().sent()).isBetween(30.0, 40.0);
        assertThat(decayed.latency().weight()).isBetween(0.99, 1.0);
        LearnedState minutes = StateDecay.decay(STATE, 4 * StateDecay.HOT_KEY_HALF_LIFE_MS, 1);
        assertThat(minutes.servers()).isEmpty();
        assertThat(minutes.hotKeys()).isEqualTo(new LearnedHotKeys(62.5, List.of(new LearnedHotKey(7, 25))));
        assertThat(minutes.serverLoad()).isEqualTo(LearnedState.NONE.serverLoad());
    }

    @Test
    void onlyLatencyRemainsAfterAnHourAndNothingAfterADay() {
        LearnedState hour = StateDecay.decay(STATE, HOUR_MS, 1);
        assertThat(hour.servers()).isEmpty();
        assertThat(hour.hotKeys()).isEqualTo(LearnedState.NONE.hotKeys());
        assertThat(hour.latency().weight()).isEqualTo(0.25);
        assertThat(StateDecay.decay(STATE, 24 * HOUR_MS, 1)).isEqualTo(LearnedState.NONE);
        assertThat(StateDecay.decay(STATE, 365 * 24 * HOUR_MS, 1)).isEqualTo(LearnedState.NONE);
    }

    @Test
    void trustScalesAllState() {
        LearnedState half = StateDecay.decay(STATE, 0, 0.5);
        assertThat(half.servers().get(0)).isEqualTo(new LearnedServer(1, 0, 2, 10_000, 1));
        assertThat(half.latency().weight()).isEqualTo(0.5);
        assertThat(half.hotKeys().keys()).containsExactly(new LearnedHotKey(7, 200));
        assertThatThrownBy(() -> StateDecay.decay(STATE, -1, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StateDecay.decay(STATE, 0, 2)).isInstanceOf(IllegalArgumentException.class);
    }

    private static final CurrentServer OTHER_SERVER = serverAt(3, "10.0.0.3:1", 0);

    private static CurrentServer serverAt(int id, String address, double startMs) {
        return new CurrentServer(id, address, startMs);
    }

    @Test
    void dropsServerFailuresWhenNearlyAllServersFailed() {
        LearnedState decayed = SNAPSHOT.restore(
                "a", "carp", 1e12, 1, List.of(serverAt(1, "10.0.0.1:1", 0), serverAt(2, "10.0.0.2:1", 50)));
        assertThat(decayed.servers()).isEmpty();
        assertThat(decayed.latency()).isEqualTo(STATE.latency());
    }

    @Test
    void serverStateHoldsForSameProcessAtSameAddress() {
        assertThat(SNAPSHOT.restore(
                        "a",
                        "carp",
                        1e12,
                        1,
                        List.of(serverAt(1, "10.0.0.1:1", 0), serverAt(2, "10.0.0.2:1", 50), OTHER_SERVER)))
                .isEqualTo(STATE);
        assertThat(SNAPSHOT.restore(
                                "a",
                                "carp",
                                1e12,
                                1,
                                List.of(serverAt(1, "10.0.0.1:1", 1e12), serverAt(2, "10.0.0.2:1", 50)))
                        .servers())
                .as("server 1 has restarted")
                .extracting(LearnedServer::id)
                .containsExactly(2);
        assertThat(SNAPSHOT.restore("a", "carp", 1e12, 1, List.of(serverAt(1, "10.0.0.9:1", 0)))
                        .servers())
                .as("another server has its address")
                .isEmpty();
        assertThat(SNAPSHOT.restore("a", "carp", 1e12, 1, List.of()).servers())
                .as("the whole fleet was replaced")
                .isEmpty();
        assertThat(SNAPSHOT.restore("b", "carp", 1e12, 1, List.of(serverAt(1, "10.0.0.1:1", 0))))
                .as("another pool")
                .isEqualTo(LearnedState.NONE);
        LearnedState ring =
                SNAPSHOT.restore("a", "nginx-hash", 1e12, 1, List.of(serverAt(1, "10.0.0.1:1", 0), OTHER_SERVER));
        assertThat(ring.hotKeys()).as("the key scheme has changed").isEqualTo(LearnedState.NONE.hotKeys());
        assertThat(ring.servers()).hasSize(1);
    }

    @Test
    void rejectsSnapshotOfAnotherSiteOrProxyOrFromTheFuture() {
        assertThat(SNAPSHOT.mismatch("site", 2, 1e12, false)).isEmpty();
        assertThat(SNAPSHOT.mismatch("site", 2, 1e12 + 365 * 24 * HOUR_MS, false))
                .as("a year later it has decayed, but is valid")
                .isEmpty();
        assertThat(SNAPSHOT.mismatch("site", 2, 1e12 - 24 * HOUR_MS, false).orElseThrow())
                .contains("86400 s from now");
        assertThat(SNAPSHOT.mismatch("other", 2, 1e12, false).orElseThrow()).contains("site site, not other");
        assertThat(SNAPSHOT.mismatch("site", 3, 1e12, false).orElseThrow())
                .contains("proxy 2, not 3")
                .contains("--seed-from");
        assertThat(SNAPSHOT.mismatch("site", 3, 1e12, true)).isEmpty();
        assertThat(SNAPSHOT.mismatch("other", 3, 1e12, true).orElseThrow()).contains("site");
    }

    @Test
    void restoresRecentStartsOfServersAtSameAddress() {
        assertThat(SNAPSHOT.serverStarts(1e12 + 1000, Map.of(1, "10.0.0.1:1"))).hasSize(1);
        assertThat(SNAPSHOT.serverStarts(1e12 + 1000, Map.of(1, "10.0.0.2:1"))).isEmpty();
        assertThat(SNAPSHOT.serverStarts(1e12 + 2 * HOUR_MS, Map.of(1, "10.0.0.1:1")))
                .isEmpty();
    }
}
