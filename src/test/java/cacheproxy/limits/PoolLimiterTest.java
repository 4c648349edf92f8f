package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Admission by a pool's pending requests and request rate. */
class PoolLimiterTest {
    @Test
    void fullPoolReturnsRetryDelay() {
        PoolLimiter limiter = new PoolLimiter(2, 10);
        assertThat(limiter.admit(0, 2)).isEqualTo(PoolLimiter.FULL_POOL_RETRY_AFTER_MS);
        assertThat(limiter.admit(0, 1)).isZero();
        assertThat(limiter.admit(0, 1)).isBetween(1.0, 100.0);
        assertThat(limiter.admit(100, 1)).isZero();
        assertThat(new PoolLimiter(1, 0).admit(0, 0)).isZero();
    }
}
