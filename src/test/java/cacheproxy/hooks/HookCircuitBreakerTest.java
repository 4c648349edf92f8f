package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** When a hook is switched off, and when it is tried again. */
class HookCircuitBreakerTest {
    private static final double OPEN_MS = 1000;

    @Test
    void opensOnceAndClosesAfterASuccessfulTrialCall() {
        HookCircuitBreaker breaker = new HookCircuitBreaker(0.5, OPEN_MS);
        int opened = 0;
        for (int i = 0; i < 20; i++) {
            assertThat(breaker.tryCall(i)).isEqualTo(i < 10);
            opened += i < 10 && breaker.recordResult(i, true) ? 1 : 0;
        }
        assertThat(opened).isEqualTo(1);
        assertThat(breaker.tryCall(1008)).isFalse();
        assertThat(breaker.tryCall(1010)).isTrue();
        assertThat(breaker.tryCall(1010)).as("one trial call at a time").isFalse();
        assertThat(breaker.recordResult(1011, true)).as("already reported").isFalse();
        assertThat(breaker.tryCall(1500)).isFalse();
        assertThat(breaker.tryCall(2011)).isTrue();
        breaker.recordResult(2012, false);
        assertThat(breaker.isOpen()).isFalse();
        for (int i = 0; i < 1000; i++) {
            assertThat(breaker.tryCall(3000 + i)).isTrue();
            assertThat(breaker.recordResult(3000 + i, i % 3 == 0))
                    .as("a third of the calls may fail")
                    .isFalse();
        }
    }

    @Test
    void triesAgainWhereTheTrialCallWasNotRun() {
        HookCircuitBreaker breaker = new HookCircuitBreaker(0, OPEN_MS);
        for (int i = 0; i < HookCircuitBreaker.MIN_CALLS; i++) {
            breaker.recordResult(0, true);
        }
        assertThat(breaker.isOpen()).isTrue();
        assertThat(breaker.tryCall(OPEN_MS)).isTrue();
        breaker.recordNotRun();
        assertThat(breaker.isOpen()).isTrue();
        assertThat(breaker.tryCall(OPEN_MS)).isTrue();
    }

    @Test
    void ignoresCallsThatBeganBeforeItOpened() {
        HookCircuitBreaker breaker = new HookCircuitBreaker(0, OPEN_MS);
        for (int i = 0; i < HookCircuitBreaker.MIN_CALLS; i++) {
            breaker.recordResult(0, true);
        }
        assertThat(breaker.recordResult(1, false)).isFalse();
        assertThat(breaker.isOpen()).isTrue();
    }

    @Test
    void decaysCountsByHalf() {
        HookCircuitBreaker breaker = new HookCircuitBreaker(0.5, OPEN_MS);
        for (int i = 0; i < HookCircuitBreaker.MIN_CALLS - 1; i++) {
            breaker.recordResult(0, true);
        }
        double nowMs = HookCircuitBreaker.HALF_LIFE_MS + 1;
        for (int i = 0; i < 5; i++) {
            assertThat(breaker.recordResult(nowMs, true))
                    .as("4.5 and " + (i + 1) + " calls")
                    .isFalse();
        }
        assertThat(breaker.recordResult(nowMs, true)).isTrue();
    }
}
