package cacheproxy.snapshot.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How facts fade, and which of them still fit. */
class StateDecayTest {
    private static final double HOUR = 3_600_000;
    private static final LearnedState ALL = new LearnedState(
            List.of(new LearnedState.Server(1, 0, 3, 20_000, 1), new LearnedState.Server(2, 50, 1, 2_500, 0)),
            new LearnedState.Pace(80, 3, 20, 4, 1),
            new LearnedState.Load(100, 50),
            new LearnedState.Load(200, 190),
            new LearnedState.HotKeys(1000, List.of(new LearnedState.HotKey(7, 400), new LearnedState.HotKey(8, 1))));
    private static final StateSnapshot FILE = new StateSnapshot(
            "site",
            2,
            1e12,
            9,
            Map.of("a", new StateSnapshot.Pool("carp", ALL, Map.of(1, "10.0.0.1:1", 2, "10.0.0.2:1"))),
            List.of(new StateSnapshot.Birth(1, "10.0.0.1:1", 1e12 - 5000, false)));

    @Test
    void atOnceAllOfItIsLeft() {
        assertThat(StateDecay.aged(ALL, 0, 1)).isEqualTo(ALL);
    }

    @Test
    void eachKindFadesAtItsOwnPace() {
        LearnedState k = StateDecay.aged(ALL, 10_000, 1);
        assertThat(k.servers()).hasSize(2);
        assertThat(k.servers().get(0).failures()).isEqualTo(3);
        assertThat(k.servers().get(0).shunnedForMs()).isEqualTo(10_000);
        assertThat(k.servers().get(1).shunnedForMs())
                .as("its time is over, it is to be tried")
                .isZero();
        assertThat(k.servers().get(1).failures()).isEqualTo(1);
        assertThat(k.crowd().asked()).isBetween(30.0, 40.0);
        assertThat(k.pace().weight()).isBetween(0.99, 1.0);
        LearnedState minutes = StateDecay.aged(ALL, 4 * StateDecay.HOT_HALF_MS, 1);
        assertThat(minutes.servers()).isEmpty();
        assertThat(minutes.hot()).isEqualTo(new LearnedState.HotKeys(62.5, List.of(new LearnedState.HotKey(7, 25))));
        assertThat(minutes.crowd()).isEqualTo(LearnedState.NONE.crowd());
    }

    @Test
    void afterAnHourAHintIsLeftAndAfterADayNothing() {
        LearnedState hour = StateDecay.aged(ALL, HOUR, 1);
        assertThat(hour.servers()).isEmpty();
        assertThat(hour.hot()).isEqualTo(LearnedState.NONE.hot());
        assertThat(hour.pace().weight()).isEqualTo(0.25);
        assertThat(StateDecay.aged(ALL, 24 * HOUR, 1)).isEqualTo(LearnedState.NONE);
        assertThat(StateDecay.aged(ALL, 365 * 24 * HOUR, 1)).isEqualTo(LearnedState.NONE);
    }

    @Test
    void anothersCountsForHalf() {
        LearnedState half = StateDecay.aged(ALL, 0, 0.5);
        assertThat(half.servers().get(0)).isEqualTo(new LearnedState.Server(1, 0, 2, 10_000, 1));
        assertThat(half.pace().weight()).isEqualTo(0.5);
        assertThat(half.hot().keys()).containsExactly(new LearnedState.HotKey(7, 200));
        assertThatThrownBy(() -> StateDecay.aged(ALL, -1, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StateDecay.aged(ALL, 0, 2)).isInstanceOf(IllegalArgumentException.class);
    }

    private static final StateSnapshot.Present OTHER = at(3, "10.0.0.3:1", 0);

    private static StateSnapshot.Present at(int id, String address, double born) {
        return new StateSnapshot.Present(id, address, born);
    }

    @Test
    void whereNearlyAllAreSaidToFailNoneIsBelievedToHave() {
        LearnedState k = FILE.left("a", "carp", 1e12, 1, List.of(at(1, "10.0.0.1:1", 0), at(2, "10.0.0.2:1", 50)));
        assertThat(k.servers()).isEmpty();
        assertThat(k.pace()).isEqualTo(ALL.pace());
    }

    @Test
    void aFactHoldsForTheSameProcessAtTheSamePlace() {
        assertThat(FILE.left("a", "carp", 1e12, 1, List.of(at(1, "10.0.0.1:1", 0), at(2, "10.0.0.2:1", 50), OTHER)))
                .isEqualTo(ALL);
        assertThat(FILE.left("a", "carp", 1e12, 1, List.of(at(1, "10.0.0.1:1", 1e12), at(2, "10.0.0.2:1", 50)))
                        .servers())
                .as("1 has restarted")
                .extracting(LearnedState.Server::id)
                .containsExactly(2);
        assertThat(FILE.left("a", "carp", 1e12, 1, List.of(at(1, "10.0.0.9:1", 0)))
                        .servers())
                .as("another stands there")
                .isEmpty();
        assertThat(FILE.left("a", "carp", 1e12, 1, List.of()).servers())
                .as("the whole fleet was replaced")
                .isEmpty();
        assertThat(FILE.left("b", "carp", 1e12, 1, List.of(at(1, "10.0.0.1:1", 0))))
                .as("another pool")
                .isEqualTo(LearnedState.NONE);
        LearnedState ring = FILE.left("a", "nginx-hash", 1e12, 1, List.of(at(1, "10.0.0.1:1", 0), OTHER));
        assertThat(ring.hot()).as("the numbers of keys mean something else").isEqualTo(LearnedState.NONE.hot());
        assertThat(ring.servers()).hasSize(1);
    }

    @Test
    void aFileOfAnotherOrOfTheFutureIsOfNoUse() {
        assertThat(FILE.unfit("site", 2, 1e12, false)).isNull();
        assertThat(FILE.unfit("site", 2, 1e12 + 365 * 24 * HOUR, false))
                .as("a year later it has faded, no more")
                .isNull();
        assertThat(FILE.unfit("site", 2, 1e12 - 24 * HOUR, false)).contains("86400 s from now");
        assertThat(FILE.unfit("other", 2, 1e12, false)).contains("site site, not other");
        assertThat(FILE.unfit("site", 3, 1e12, false))
                .contains("proxy 2, not 3")
                .contains("--seed-from");
        assertThat(FILE.unfit("site", 3, 1e12, true)).isNull();
        assertThat(FILE.unfit("other", 3, 1e12, true)).contains("site");
    }

    @Test
    void startsAreGivenBackWhereTheServerStandsAndTheyStillMatter() {
        assertThat(FILE.births(1e12 + 1000, Map.of(1, "10.0.0.1:1"))).hasSize(1);
        assertThat(FILE.births(1e12 + 1000, Map.of(1, "10.0.0.2:1"))).isEmpty();
        assertThat(FILE.births(1e12 + 2 * HOUR, Map.of(1, "10.0.0.1:1"))).isEmpty();
    }
}
