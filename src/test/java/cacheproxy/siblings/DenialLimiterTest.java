package cacheproxy.siblings;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** When denials are no longer sent to an address. */
class DenialLimiterTest {
    @Test
    void stopsAnsweringClientsThatAreNearlyAlwaysDenied() {
        DenialLimiter<String> limiter = new DenialLimiter<>(10);
        int answered = 0;
        for (int i = 0; i < 1000; i++) {
            answered += limiter.shouldAnswer("bad", true) ? 1 : 0;
        }
        assertThat(answered).isEqualTo(DenialLimiter.MIN_QUERIES - 1);
        for (int i = 0; i < 60; i++) {
            assertThat(limiter.shouldAnswer("bad", false))
                    .as("queries that are not denied are answered")
                    .isTrue();
        }
        assertThat(limiter.shouldAnswer("bad", true))
                .as("below the limit again")
                .isTrue();
        for (int i = 0; i < 1000; i++) {
            limiter.shouldAnswer("forged" + i, true);
        }
        assertThat(limiter.shouldAnswer("bad", true))
                .as("removed, because other addresses were seen later")
                .isTrue();
    }
}
