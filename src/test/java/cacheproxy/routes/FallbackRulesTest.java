package cacheproxy.routes;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import org.junit.jupiter.api.Test;

/** Which requests may be sent to the next pool, for every kind of idempotency. */
class FallbackRulesTest {
    private static ServiceClass serviceClass(Idempotency idempotency) {
        return new ServiceClass(
                "c",
                idempotency,
                DeduplicationScope.ALL,
                idempotency == Idempotency.DEDUPLICATED ? 1500 : 0,
                250,
                1000,
                1,
                0.3,
                false);
    }

    @Test
    void allowsNextPoolForAnyClassWhenNothingCanHaveRun() {
        for (Idempotency idempotency : Idempotency.values()) {
            assertThat(FallbackRules.mayTryNextPool(serviceClass(idempotency), false, null, null, 999, 0))
                    .isTrue();
            assertThat(FallbackRules.mayReject(serviceClass(idempotency), false))
                    .isTrue();
        }
    }

    @Test
    void allowsNextPoolAfterPossibleExecutionOnlyIfSafeOrDeduplicated() {
        assertThat(FallbackRules.mayTryNextPool(serviceClass(Idempotency.IDEMPOTENT), true, null, null, 5000, 0))
                .isTrue();
        assertThat(FallbackRules.mayTryNextPool(serviceClass(Idempotency.NON_IDEMPOTENT), true, "g", "g", 0, 0))
                .isFalse();
        assertThat(FallbackRules.mayTryNextPool(serviceClass(Idempotency.DEDUPLICATED), true, "g", "g", 1499, 0))
                .isTrue();
        assertThat(FallbackRules.mayTryNextPool(serviceClass(Idempotency.DEDUPLICATED), true, "g", "g", 1500, 0))
                .isFalse();
        assertThat(FallbackRules.mayTryNextPool(serviceClass(Idempotency.DEDUPLICATED), true, "g", "h", 1, 0))
                .isFalse();
        assertThat(FallbackRules.mayTryNextPool(serviceClass(Idempotency.DEDUPLICATED), true, null, null, 1, 0))
                .isFalse();
        assertThat(FallbackRules.mayReject(serviceClass(Idempotency.IDEMPOTENT), true))
                .isTrue();
        assertThat(FallbackRules.mayReject(serviceClass(Idempotency.DEDUPLICATED), true))
                .isFalse();
        assertThat(FallbackRules.mayReject(serviceClass(Idempotency.NON_IDEMPOTENT), true))
                .isFalse();
    }

    @Test
    void onlySafeRequestsLeaveTimeForTheNextPool() {
        assertThat(FallbackRules.deadlineMs(serviceClass(Idempotency.IDEMPOTENT), false, false, 100, 0, 1000))
                .isEqualTo(550);
        assertThat(FallbackRules.deadlineMs(serviceClass(Idempotency.IDEMPOTENT), true, true, 100, 0, 1000))
                .isEqualTo(1000);
        assertThat(FallbackRules.deadlineMs(serviceClass(Idempotency.NON_IDEMPOTENT), false, false, 100, 0, 1000))
                .isEqualTo(1000);
        assertThat(FallbackRules.deadlineMs(serviceClass(Idempotency.DEDUPLICATED), false, false, 100, 0, 3000))
                .isEqualTo(3000);
        assertThat(FallbackRules.deadlineMs(serviceClass(Idempotency.DEDUPLICATED), true, true, 100, 0, 3000))
                .isEqualTo(1500);
    }
}
