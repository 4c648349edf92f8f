package cacheproxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which connections {@link Lifecycle} accepts and closes in each state. */
class LifecycleTest {
    private static final LifecycleTiming TIMING = new LifecycleTiming(400, 1000, 1600, 500, 300);

    @Test
    void standbyRejectsClientsAtOnceAndDrainsEvenlyAfterItsDelay() {
        Lifecycle lifecycle = new Lifecycle(TIMING);
        assertThat(lifecycle.acceptsClients()).isTrue();
        assertThat(lifecycle.closingFraction(50)).isZero();
        assertThat(lifecycle.enterStandby(1000)).isTrue();
        assertThat(lifecycle.acceptsClients()).isFalse();
        assertThat(lifecycle.acceptsConnections(9000)).isTrue();
        assertThat(lifecycle.closingFraction(1400)).isZero();
        assertThat(lifecycle.closingFraction(1900)).isEqualTo(0.5);
        assertThat(lifecycle.closingFraction(2400)).isEqualTo(1);
        assertThat(lifecycle.closingFraction(90_000)).isEqualTo(1);
    }

    @Test
    void repeatedStandbyKeepsItsStartAndLeavingStandbyResets() {
        Lifecycle lifecycle = new Lifecycle(TIMING);
        lifecycle.enterStandby(1000);
        lifecycle.enterStandby(1800);
        assertThat(lifecycle.closingFraction(1900)).isEqualTo(0.5);
        assertThat(lifecycle.leaveStandby()).isTrue();
        assertThat(lifecycle.acceptsClients()).isTrue();
        assertThat(lifecycle.closingFraction(1900)).isZero();
        lifecycle.enterStandby(5000);
        assertThat(lifecycle.closingFraction(5400)).isZero();
        assertThat(lifecycle.closingFraction(5900)).isEqualTo(0.5);
    }

    /** Guards against a client that is served in standby for as long as it always has a request out. */
    @Test
    void standbyEndsReadingUnlessItIsLeftBefore() {
        Lifecycle lifecycle = new Lifecycle(TIMING);
        assertThat(lifecycle.endsReading(9000)).isFalse();
        lifecycle.enterStandby(1000);
        assertThat(lifecycle.endsReading(2599)).isFalse();
        assertThat(lifecycle.endsReading(2600)).isTrue();
        lifecycle.leaveStandby();
        assertThat(lifecycle.endsReading(2600)).isFalse();
        lifecycle.enterStandby(3000);
        assertThat(lifecycle.endsReading(4599)).isFalse();
        lifecycle.beginShutdown(4000, false);
        assertThat(lifecycle.endsReading(9000))
                .as("the shutdown has a moment of its own")
                .isFalse();
    }

    @Test
    void readingEndsEarlyEnoughForADrainedProxy() {
        double pollAndPauseMs = 170;
        assertThat(LifecycleTiming.DEFAULT.standbyReadMs()).isLessThanOrEqualTo(2000 - pollAndPauseMs);
    }

    @Test
    void shutdownWithoutSuccessorListensOnThenClosesAll() {
        Lifecycle lifecycle = new Lifecycle(TIMING);
        lifecycle.beginShutdown(1000, false);
        assertThat(lifecycle.acceptsClients()).isTrue();
        assertThat(lifecycle.acceptsConnections(1499)).isTrue();
        assertThat(lifecycle.closingFraction(1499)).isZero();
        assertThat(lifecycle.acceptsConnections(1500)).isFalse();
        assertThat(lifecycle.closingFraction(1500)).isEqualTo(1);
    }

    @Test
    void shutdownWithSuccessorStopsListeningAndDrainsEvenly() {
        Lifecycle lifecycle = new Lifecycle(TIMING);
        lifecycle.beginShutdown(1000, true);
        assertThat(lifecycle.acceptsConnections(1000)).isFalse();
        assertThat(lifecycle.closingFraction(1000)).isZero();
        assertThat(lifecycle.closingFraction(1150)).isEqualTo(0.5);
        assertThat(lifecycle.closingFraction(1300)).isEqualTo(1);
    }

    @Test
    void shutdownIsFinal() {
        Lifecycle lifecycle = new Lifecycle(TIMING);
        lifecycle.enterStandby(500);
        lifecycle.beginShutdown(1000, false);
        lifecycle.beginShutdown(1400, true); // a change of the successor in the meantime has no effect
        assertThat(lifecycle.enterStandby(1100)).isFalse();
        assertThat(lifecycle.leaveStandby()).isFalse();
        assertThat(lifecycle.state()).isEqualTo(LifecycleState.SHUTTING_DOWN);
        assertThat(lifecycle.acceptsConnections(1499)).isTrue();
        assertThat(lifecycle.closingFraction(1500)).isEqualTo(1);
    }

    @Test
    void closingFractionStaysInRangeAndNeverFallsWithinAState() {
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < 2000; run++) {
            Lifecycle lifecycle = new Lifecycle(TIMING);
            double nowMs = 0;
            double before = 0;
            LifecycleState state = lifecycle.state();
            for (int step = 0; step < 40; step++) {
                nowMs += random.nextInt(200);
                switch (random.nextInt(12)) {
                    case 0 -> lifecycle.enterStandby(nowMs);
                    case 1 -> lifecycle.leaveStandby();
                    case 2 -> lifecycle.beginShutdown(nowMs, random.nextBoolean());
                    default -> {}
                }
                double fraction = lifecycle.closingFraction(nowMs);
                assertThat(fraction).isBetween(0.0, 1.0);
                if (lifecycle.state() == state) {
                    assertThat(fraction).isGreaterThanOrEqualTo(before);
                }
                assertThat(lifecycle.acceptsConnections(nowMs) || lifecycle.state() == LifecycleState.SHUTTING_DOWN)
                        .isTrue();
                state = lifecycle.state();
                before = fraction;
            }
        }
    }

    @Test
    void closingPositionsOfConsecutiveNumbersAreEven() {
        for (long from : new long[] {0, 17, 1_000_000, 1L << 40}) {
            int[] tenths = new int[10];
            for (int i = 0; i < 100; i++) {
                tenths[(int) (Lifecycle.closingPosition(from + i) * 10)]++;
            }
            for (int count : tenths) {
                assertThat(count).isBetween(8, 12);
            }
        }
    }

    @Test
    void rejectsNegativePeriods() {
        assertThatThrownBy(() -> new LifecycleTiming(1, -1, 1, 1, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new LifecycleTiming(Double.NaN, 1, 1, 1, 1))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
