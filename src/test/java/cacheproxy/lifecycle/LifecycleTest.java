package cacheproxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.lifecycle.Lifecycle.Periods;
import cacheproxy.lifecycle.Lifecycle.State;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a process owes its clients, without sockets or clocks. */
class LifecycleTest {
    private static final Periods P = new Periods(400, 1000, 500, 300);

    @Test
    void standbySaysNoAtOnceGoesOnListeningAndEndsConnectionsEvenlyAfterItsHold() {
        Lifecycle life = new Lifecycle(P);
        assertThat(life.takesClients()).isTrue();
        assertThat(life.share(50)).isZero();
        assertThat(life.standby(1000)).isTrue();
        assertThat(life.takesClients()).isFalse();
        assertThat(life.listens(9000)).isTrue();
        assertThat(life.share(1400)).isZero();
        assertThat(life.share(1900)).isEqualTo(0.5);
        assertThat(life.share(2400)).isEqualTo(1);
        assertThat(life.share(90_000)).isEqualTo(1);
    }

    @Test
    void aSecondStandbyDoesNotBeginAnewAndActiveTakesBackAll() {
        Lifecycle life = new Lifecycle(P);
        life.standby(1000);
        life.standby(1800);
        assertThat(life.share(1900)).isEqualTo(0.5);
        assertThat(life.active()).isTrue();
        assertThat(life.takesClients()).isTrue();
        assertThat(life.share(1900)).isZero();
        life.standby(5000);
        assertThat(life.share(5400)).isZero();
        assertThat(life.share(5900)).isEqualTo(0.5);
    }

    @Test
    void leavingAloneListensOnAndThenEndsAllAndSaysYesToTheLast() {
        Lifecycle life = new Lifecycle(P);
        life.leave(1000, false);
        assertThat(life.takesClients()).isTrue();
        assertThat(life.listens(1499)).isTrue();
        assertThat(life.share(1499)).isZero();
        assertThat(life.listens(1500)).isFalse();
        assertThat(life.share(1500)).isEqualTo(1);
    }

    @Test
    void leavingWithASuccessorListensNoMoreAndEndsConnectionsEvenly() {
        Lifecycle life = new Lifecycle(P);
        life.leave(1000, true);
        assertThat(life.listens(1000)).isFalse();
        assertThat(life.share(1000)).isZero();
        assertThat(life.share(1150)).isEqualTo(0.5);
        assertThat(life.share(1300)).isEqualTo(1);
    }

    @Test
    void nothingTakesBackTheEnd() {
        Lifecycle life = new Lifecycle(P);
        life.standby(500);
        life.leave(1000, false);
        life.leave(1400, true); // one that dies meanwhile changes nothing
        assertThat(life.standby(1100)).isFalse();
        assertThat(life.active()).isFalse();
        assertThat(life.state()).isEqualTo(State.LEAVING);
        assertThat(life.listens(1499)).isTrue();
        assertThat(life.share(1500)).isEqualTo(1);
    }

    @Test
    void noOrderOfCallsMakesAShareOutsideOfItsRangeOrLetsItFallWithinAState() {
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < 2000; run++) {
            Lifecycle life = new Lifecycle(P);
            double now = 0;
            double before = 0;
            State state = life.state();
            for (int step = 0; step < 40; step++) {
                now += random.nextInt(200);
                switch (random.nextInt(12)) {
                    case 0 -> life.standby(now);
                    case 1 -> life.active();
                    case 2 -> life.leave(now, random.nextBoolean());
                    default -> {}
                }
                double share = life.share(now);
                assertThat(share).isBetween(0.0, 1.0);
                if (life.state() == state) {
                    assertThat(share).isGreaterThanOrEqualTo(before);
                }
                assertThat(life.listens(now) || life.state() == State.LEAVING).isTrue();
                state = life.state();
                before = share;
            }
        }
    }

    @Test
    void placesOfAnyStretchOfNumbersAreSpreadEvenly() {
        for (long from : new long[] {0, 17, 1_000_000, 1L << 40}) {
            int[] tenths = new int[10];
            for (int i = 0; i < 100; i++) {
                tenths[(int) (Lifecycle.place(from + i) * 10)]++;
            }
            for (int n : tenths) {
                assertThat(n).isBetween(8, 12);
            }
        }
    }

    @Test
    void aNegativePeriodIsRefused() {
        assertThatThrownBy(() -> new Periods(1, -1, 1, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Periods(Double.NaN, 1, 1, 1)).isInstanceOf(IllegalArgumentException.class);
    }
}
