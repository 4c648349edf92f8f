package cacheproxy.routes;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.PolicyApi.Effect;
import cacheproxy.policy.PolicyApi.Group;
import cacheproxy.policy.PolicyApi.ServiceClass;
import org.junit.jupiter.api.Test;

/** From pool to pool the rule on effects holds: every combination is stated. */
class FallbackTest {
    private static ServiceClass kind(Effect effect) {
        return new ServiceClass("c", effect, Group.ALL, effect == Effect.KEYED ? 1500 : 0, 250, 1000, 1, 0.3, false);
    }

    @Test
    void whatCanNotHaveRunGoesOnWhateverItsClass() {
        for (Effect e : Effect.values()) {
            assertThat(Fallback.mayGoOn(kind(e), false, null, null, 999, 0)).isTrue();
            assertThat(Fallback.mayRefuse(kind(e), false)).isTrue();
        }
    }

    @Test
    void whatMayHaveRunGoesOnOnlyIfItIsSafeOrItsRepeatIsDropped() {
        assertThat(Fallback.mayGoOn(kind(Effect.SAFE), true, null, null, 5000, 0))
                .isTrue();
        assertThat(Fallback.mayGoOn(kind(Effect.UNSAFE), true, "g", "g", 0, 0)).isFalse();
        assertThat(Fallback.mayGoOn(kind(Effect.KEYED), true, "g", "g", 1499, 0))
                .isTrue();
        assertThat(Fallback.mayGoOn(kind(Effect.KEYED), true, "g", "g", 1500, 0))
                .isFalse();
        assertThat(Fallback.mayGoOn(kind(Effect.KEYED), true, "g", "h", 1, 0)).isFalse();
        assertThat(Fallback.mayGoOn(kind(Effect.KEYED), true, null, null, 1, 0)).isFalse();
        assertThat(Fallback.mayRefuse(kind(Effect.SAFE), true)).isTrue();
        assertThat(Fallback.mayRefuse(kind(Effect.KEYED), true)).isFalse();
        assertThat(Fallback.mayRefuse(kind(Effect.UNSAFE), true)).isFalse();
    }

    @Test
    void aSafeRequestLeavesTimeForTheNextPoolAndOthersKeepTheirs() {
        assertThat(Fallback.dueMs(kind(Effect.SAFE), false, false, 100, 0, 1000))
                .isEqualTo(550);
        assertThat(Fallback.dueMs(kind(Effect.SAFE), true, true, 100, 0, 1000)).isEqualTo(1000);
        assertThat(Fallback.dueMs(kind(Effect.UNSAFE), false, false, 100, 0, 1000))
                .isEqualTo(1000);
        assertThat(Fallback.dueMs(kind(Effect.KEYED), false, false, 100, 0, 3000))
                .isEqualTo(3000);
        assertThat(Fallback.dueMs(kind(Effect.KEYED), true, true, 100, 0, 3000)).isEqualTo(1500);
    }
}
