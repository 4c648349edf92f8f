package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests how often connections may be closed to abandon an attempt, on a simulated clock. */
class ConnectionCloseLimiterTest {
    private static final double START_MS = 5000;

    private final ConnectionCloseLimiter limiter = new ConnectionCloseLimiter();

    private void use(int closes) {
        for (int close = 0; close < closes; close++) {
            assertThat(limiter.mayClose(START_MS, true)).as("close %d", close).isTrue();
        }
    }

    @Test
    void allowsTenAtOnceAndTenEachSecond() {
        use(10);
        assertThat(limiter.mayClose(START_MS, true)).isFalse();
        assertThat(limiter.mayClose(START_MS + 50, true)).isFalse();
        assertThat(limiter.mayClose(START_MS + 100, true))
                .as("a rejected close costs no token")
                .isTrue();
        assertThat(limiter.mayClose(START_MS + 100, true)).isFalse();
    }

    @Test
    void savesTenAtMost() {
        use(10);
        double laterMs = START_MS + 60_000;
        for (int close = 0; close < 10; close++) {
            assertThat(limiter.mayClose(laterMs, true)).isTrue();
        }
        assertThat(limiter.mayClose(laterMs, true)).isFalse();
    }

    @Test
    void closesWithoutHedgingAreAlwaysAllowedAndLeaveADebt() {
        use(10);
        for (int close = 0; close < 3; close++) {
            assertThat(limiter.mayClose(START_MS, false)).isTrue();
        }
        assertThat(limiter.mayClose(START_MS + 350, true))
                .as("the negative balance is refilled first")
                .isFalse();
        assertThat(limiter.mayClose(START_MS + 401, true)).isTrue();
    }

    /** Guards against a wave of connects and repeats where connections carry many attempts. */
    @Test
    void countsEachAttemptThatACloseCutsOff() {
        assertThat(limiter.mayCutOff(START_MS, 11)).isFalse();
        assertThat(limiter.mayCutOff(START_MS, 7)).isTrue();
        assertThat(limiter.mayCutOff(START_MS, 4)).isFalse();
        assertThat(limiter.mayCutOff(START_MS + 100, 4)).isTrue();
        assertThat(limiter.mayClose(START_MS + 100, true)).isFalse();
    }

    @Test
    void neverAllowsMoreThanTheRateAndLittleLess() {
        Random random = new Random(23);
        double nowMs = START_MS;
        int allowed = 0;
        for (int step = 0; step < 20_000; step++) {
            nowMs += random.nextDouble() * 40;
            allowed += limiter.mayClose(nowMs, true) ? 1 : 0;
            assertThat((double) allowed).isLessThanOrEqualTo(10 + (nowMs - START_MS) / 100 + 1e-6);
        }
        assertThat(allowed).as("nearly as many as the rate allows").isGreaterThan((int)
                ((nowMs - START_MS) / 100 * 0.99));
    }
}
