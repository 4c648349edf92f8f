package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What hooks may order, and when one is switched off. */
class HookRulesTest {
    private static ServiceClass kind(String name, Idempotency e) {
        return new ServiceClass(name, e, DeduplicationScope.ALL, 100, 1, 2, 1, 0.3, false);
    }

    private final HookRules rules = new HookRules(
            List.of(
                    kind("safe", Idempotency.IDEMPOTENT),
                    kind("keyed", Idempotency.DEDUPLICATED),
                    kind("unsafe", Idempotency.NON_IDEMPOTENT)),
            List.of("red"),
            Set.of("r"));

    private static HookOrders toClass(String name) {
        return new HookOrders(null, name, null, null, 0, null, 0);
    }

    @Test
    void aClassMayOnlyBecomeAsStrictOrStricter() {
        String[] names = {"safe", "keyed", "unsafe"};
        for (int sent = 0; sent < 3; sent++) {
            for (int to = 0; to < 3; to++) {
                String why = rules.refused(toClass(names[to]), sent, 100);
                assertThat(why == null).as(names[sent] + " to " + names[to]).isEqualTo(to >= sent);
            }
        }
    }

    @Test
    void keysTenantsRoutesAndDeadlinesAreChecked() {
        for (String key : List.of("", "a b", "a\n", "k".repeat(251), "\u00e9")) {
            assertThat(rules.refused(new HookOrders(key, null, null, null, 0, null, 0), 0, 9))
                    .contains("not legal");
        }
        assertThat(rules.refused(new HookOrders("k".repeat(250), "safe", "red", "r", 0, null, 9), 0, 9))
                .isNull();
        assertThat(rules.refused(new HookOrders(null, null, "blue", null, 0, null, 0), 0, 9))
                .contains("no tenant 'blue'");
        assertThat(rules.refused(new HookOrders(null, null, null, "q", 0, null, 0), 0, 9))
                .contains("no route 'q'");
        assertThat(rules.refused(new HookOrders(null, null, null, null, 0, null, 10), 0, 9))
                .contains("only be shortened");
        assertThat(rules.refused(toClass("nosuch"), 0, 9)).contains("no class 'nosuch'");
    }

    @Test
    void theBreakerOpensTellsItOnceAndTriesAgain() {
        HookBreaker b = new HookBreaker(0.5, 1000);
        int told = 0;
        for (int i = 0; i < 20; i++) {
            assertThat(b.call(i)).isEqualTo(i < 10);
            told += i < 10 && b.ended(i, true) ? 1 : 0;
        }
        assertThat(told).isEqualTo(1);
        assertThat(b.call(1008)).isFalse();
        assertThat(b.call(1010)).isTrue();
        assertThat(b.call(1010)).as("one alone tries").isFalse();
        assertThat(b.ended(1011, true)).as("said already").isFalse();
        assertThat(b.call(1500)).isFalse();
        assertThat(b.call(2011)).isTrue();
        b.ended(2012, false);
        assertThat(b.isOff()).isFalse();
        for (int i = 0; i < 1000; i++) {
            assertThat(b.call(3000 + i)).isTrue();
            assertThat(b.ended(3000 + i, i % 3 == 0)).as("a third may fail").isFalse();
        }
    }
}
