package cacheproxy.routes;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import org.junit.jupiter.api.Test;

/** From pool to pool the rule on effects holds: every combination is stated. */
class FallbackTest {
    private static ServiceClass kind(Idempotency effect) {
        return new ServiceClass(
                "c",
                effect,
                DeduplicationScope.ALL,
                effect == Idempotency.DEDUPLICATED ? 1500 : 0,
                250,
                1000,
                1,
                0.3,
                false);
    }

    @Test
    void whatCanNotHaveRunGoesOnWhateverItsClass() {
        for (Idempotency e : Idempotency.values()) {
            assertThat(Fallback.mayGoOn(kind(e), false, null, null, 999, 0)).isTrue();
            assertThat(Fallback.mayRefuse(kind(e), false)).isTrue();
        }
    }

    @Test
    void whatMayHaveRunGoesOnOnlyIfItIsSafeOrItsRepeatIsDropped() {
        assertThat(Fallback.mayGoOn(kind(Idempotency.IDEMPOTENT), true, null, null, 5000, 0))
                .isTrue();
        assertThat(Fallback.mayGoOn(kind(Idempotency.NON_IDEMPOTENT), true, "g", "g", 0, 0))
                .isFalse();
        assertThat(Fallback.mayGoOn(kind(Idempotency.DEDUPLICATED), true, "g", "g", 1499, 0))
                .isTrue();
        assertThat(Fallback.mayGoOn(kind(Idempotency.DEDUPLICATED), true, "g", "g", 1500, 0))
                .isFalse();
        assertThat(Fallback.mayGoOn(kind(Idempotency.DEDUPLICATED), true, "g", "h", 1, 0))
                .isFalse();
        assertThat(Fallback.mayGoOn(kind(Idempotency.DEDUPLICATED), true, null, null, 1, 0))
                .isFalse();
        assertThat(Fallback.mayRefuse(kind(Idempotency.IDEMPOTENT), true)).isTrue();
        assertThat(Fallback.mayRefuse(kind(Idempotency.DEDUPLICATED), true)).isFalse();
        assertThat(Fallback.mayRefuse(kind(Idempotency.NON_IDEMPOTENT), true)).isFalse();
    }

    @Test
    void aSafeRequestLeavesTimeForTheNextPoolAndOthersKeepTheirs() {
        assertThat(Fallback.dueMs(kind(Idempotency.IDEMPOTENT), false, false, 100, 0, 1000))
                .isEqualTo(550);
        assertThat(Fallback.dueMs(kind(Idempotency.IDEMPOTENT), true, true, 100, 0, 1000))
                .isEqualTo(1000);
        assertThat(Fallback.dueMs(kind(Idempotency.NON_IDEMPOTENT), false, false, 100, 0, 1000))
                .isEqualTo(1000);
        assertThat(Fallback.dueMs(kind(Idempotency.DEDUPLICATED), false, false, 100, 0, 3000))
                .isEqualTo(3000);
        assertThat(Fallback.dueMs(kind(Idempotency.DEDUPLICATED), true, true, 100, 0, 3000))
                .isEqualTo(1500);
    }
}
