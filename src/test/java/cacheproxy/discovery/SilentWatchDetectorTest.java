package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.PolicyApi.Member;
import cacheproxy.policy.PolicyApi.State;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SilentWatchDetectorTest {
    private final SilentWatchDetector doubt = new SilentWatchDetector(3500, 1000, 200);

    private static Member member(int id, State state) {
        return new Member(id, 0, 0, 0, state, 1, 0);
    }

    private void listed(int servers) {
        doubt.told(
                41,
                true,
                IntStream.rangeClosed(1, servers)
                        .mapToObj(i -> member(i, State.READY))
                        .toList());
    }

    @Test
    void oneServerThatRefusesIsWaitedForAsLongAsDiscoveryMayTake() {
        listed(60);
        assertThat(doubt.dueAt()).isInfinite();
        doubt.refused(1000, 7);
        doubt.refused(2000, 7);
        assertThat(doubt.dueAt()).isEqualTo(1000 + 3500 + 200);
        assertThat(doubt.ask(4699)).isFalse();
        assertThat(doubt.ask(4700)).isTrue();
        assertThat(doubt.dueAt()).isInfinite();
    }

    @Test
    void manyAreNotWaitedForThatLong() {
        listed(60);
        for (int i = 1; i <= 6; i++) {
            doubt.refused(1000 + i, i);
        }
        assertThat(doubt.dueAt()).isEqualTo(1006 + 1000 + 200);
    }

    @Test
    void inASmallFleetTwoAreNotMany() {
        listed(4);
        doubt.refused(0, 1);
        doubt.refused(0, 2);
        assertThat(doubt.dueAt()).isEqualTo(3700);
        doubt.refused(0, 3);
        assertThat(doubt.dueAt()).isEqualTo(1200);
    }

    @Test
    void newsEndTheDoubtAndSoDoesAServerThatIsThereAgain() {
        listed(60);
        doubt.refused(0, 7);
        doubt.told(42, false, List.of());
        assertThat(doubt.dueAt()).isInfinite();
        doubt.refused(0, 7);
        doubt.refused(0, 8);
        doubt.connected(7);
        assertThat(doubt.dueAt()).isEqualTo(3700);
        doubt.connected(8);
        assertThat(doubt.dueAt()).isInfinite();
    }

    @Test
    void serversThatAreNotReadyOnTheListSayNothing() {
        listed(60);
        doubt.told(42, false, List.of(member(7, State.DRAINING), member(8, State.GONE)));
        doubt.refused(0, 7);
        doubt.refused(0, 8);
        doubt.refused(0, 61);
        assertThat(doubt.dueAt()).isInfinite();
    }

    @Test
    void aServerThatStaysDownAndListedIsAskedAboutEverMoreSeldomUntilItsStateChanges() {
        listed(60);
        double now = 0;
        List<Double> waits = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            doubt.refused(now, 7);
            waits.add(doubt.dueAt() - now);
            now = doubt.dueAt();
            assertThat(doubt.ask(now)).isTrue();
            doubt.told(42, false, List.of(member(9, State.READY))); // news, but not of this one
        }
        assertThat(waits).containsExactly(3700.0, 7200.0, 14200.0, 28200.0, 56200.0, 56200.0, 56200.0);
        doubt.refused(now, 7);
        doubt.told(42, false, List.of(member(7, State.DRAINING)));
        doubt.told(42, false, List.of(member(7, State.READY)));
        doubt.refused(now, 7);
        assertThat(doubt.dueAt()).isEqualTo(now + 3700);
    }

    @Test
    void whereManyRefusedAndSomeAreThereAgainTheRestIsWaitedForAsFewAre() {
        listed(60);
        for (int i = 1; i <= 6; i++) {
            doubt.refused(i, i);
        }
        assertThat(doubt.dueAt()).isEqualTo(1206);
        doubt.connected(6);
        assertThat(doubt.dueAt()).isEqualTo(3701);
        doubt.refused(100, 6);
        assertThat(doubt.dueAt()).isEqualTo(1300);
    }

    @Test
    void anotherProxysLaterVersionIsWaitedForAsLongAsItMayTakeAndThenAskedFor() {
        listed(60);
        doubt.claimed(1000, 43);
        doubt.claimed(1500, 43);
        assertThat(doubt.dueAt()).isEqualTo(1000 + 1000 + 200);
        doubt.told(42, false, List.of());
        assertThat(doubt.dueAt()).isEqualTo(2200); // still behind
        doubt.told(43, false, List.of());
        assertThat(doubt.dueAt()).isInfinite();
    }

    @Test
    void aFalseVersionCostsFewCallsAndATrueOneIsBelievedAgainLater() {
        listed(60);
        doubt.claimed(0, Long.MAX_VALUE);
        double now = 0;
        List<Double> waits = new ArrayList<>();
        while (doubt.dueAt() < Double.POSITIVE_INFINITY && waits.size() < 10) {
            waits.add(doubt.dueAt() - now);
            now = doubt.dueAt();
            assertThat(doubt.ask(now)).isTrue();
            doubt.told(41, false, List.of());
            doubt.claimed(now, Long.MAX_VALUE); // told again and again
        }
        assertThat(waits).containsExactly(1200.0, 2200.0, 4200.0, 8200.0);
        double deaf = 16 * 3500;
        doubt.claimed(now + deaf - 1, 43);
        assertThat(doubt.dueAt()).isInfinite();
        doubt.refused(now + deaf - 1, 7); // what shows on the sockets is believed all the while
        assertThat(doubt.dueAt()).isEqualTo(now + deaf - 1 + 3700);
        doubt.told(42, false, List.of());
        doubt.claimed(now + deaf, 43);
        assertThat(doubt.dueAt()).isEqualTo(now + deaf + 1200);
    }
}
