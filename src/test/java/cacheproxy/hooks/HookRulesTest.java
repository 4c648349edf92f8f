package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which orders hooks may give, and how violations are described to operators. */
class HookRulesTest {
    private static ServiceClass serviceClass(String name, Idempotency idempotency) {
        return new ServiceClass(name, idempotency, DeduplicationScope.ALL, 100, 1, 2, 1, 0.3, false);
    }

    private final HookRules rules = new HookRules(
            List.of(
                    serviceClass("safe", Idempotency.IDEMPOTENT),
                    serviceClass("keyed", Idempotency.DEDUPLICATED),
                    serviceClass("unsafe", Idempotency.NON_IDEMPOTENT)),
            List.of("red"),
            Set.of("r"));

    private static HookOrders ordersClass(String name) {
        return new HookOrders(null, name, null, null, 0, null, 0);
    }

    @Test
    void allowsOnlyClassesAtLeastAsStrict() {
        String[] names = {"safe", "keyed", "unsafe"};
        for (int sent = 0; sent < 3; sent++) {
            for (int ordered = 0; ordered < 3; ordered++) {
                String violation = rules.violation(ordersClass(names[ordered]), sent, 100);
                assertThat(violation == null)
                        .as(names[sent] + " to " + names[ordered])
                        .isEqualTo(ordered >= sent);
            }
        }
    }

    @Test
    void checksKeysTenantsRoutesAndDeadlines() {
        for (String key : List.of("", "a b", "a\n", "k".repeat(251), "\u00e9")) {
            assertThat(rules.violation(new HookOrders(key, null, null, null, 0, null, 0), 0, 9))
                    .contains("not legal");
        }
        assertThat(rules.violation(new HookOrders("k".repeat(250), "safe", "red", "r", 0, null, 9), 0, 9))
                .isNull();
        assertThat(rules.violation(new HookOrders(null, null, "blue", null, 0, null, 0), 0, 9))
                .contains("no tenant 'blue'");
        assertThat(rules.violation(new HookOrders(null, null, null, "q", 0, null, 0), 0, 9))
                .contains("no route 'q'");
        assertThat(rules.violation(new HookOrders(null, null, null, null, 0, null, 10), 0, 9))
                .contains("only be shortened");
        assertThat(rules.violation(ordersClass("nosuch"), 0, 9)).contains("no class 'nosuch'");
    }
}
