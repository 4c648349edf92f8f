package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** The token bucket under simulated time. */
class TokenBucketTest {
    @Test
    void tokenBucketAllowsBurstThenRate() {
        TokenBucket bucket = new TokenBucket(100, 5);
        int taken = 0;
        for (int ms = 0; ms <= 1000; ms++) {
            while (bucket.tryAcquire(ms)) {
                taken++;
            }
        }
        assertThat(taken).isBetween(104, 105);
        assertThat(bucket.waitMs(1000)).isPositive().isLessThanOrEqualTo(10);
        assertThat(bucket.tryAcquire(1000)).isFalse();
        assertThat(bucket.tryAcquire(1011)).isTrue();
        assertThatThrownBy(() -> new TokenBucket(0, 1)).isInstanceOf(IllegalArgumentException.class);
    }
}
