package cacheproxy.routes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares finding routes with a reference search, and checks rewrites, patterns, shares and unreachable routes. */
class RouteTableTest {
    private static final Route.Action POOL = new Route.ToPools(List.of("a"));

    private static final String[] PATTERNS = {"^a+/", "b$", "a/b", "^(a|b)", "^ab?/", "//"};

    private static Route route(String name, int order, int position, String exact, String prefix, String regex) {
        return new Route(
                name,
                order,
                position,
                new RouteConditions(
                        Set.of(),
                        null,
                        exact,
                        prefix,
                        regex == null ? List.of() : List.of(new KeyPattern(regex)),
                        Set.of(),
                        Set.of(),
                        null,
                        null),
                KeyRewrite.NONE,
                null,
                POOL);
    }

    private static RouteInput inputFor(String key) {
        return new RouteInput("main", key, 0, 0, false);
    }

    @Test
    void findsExactThenLongestPrefixThenPatternThenUnconditional() {
        RouteTable table = new RouteTable(List.of(
                route("rest", 0, 0, null, null, null),
                route("regex", 0, 1, null, null, "\\.vtt$"),
                route("short", 0, 2, null, "a/", null),
                route("long", 0, 3, null, "a/b/", null),
                route("exact", 0, 4, "a/b/c", null, null)));
        assertThat(table.find(inputFor("a/b/c")).name()).isEqualTo("exact");
        assertThat(table.find(inputFor("a/b/c.vtt")).name()).isEqualTo("long");
        assertThat(table.find(inputFor("a/c.vtt")).name()).isEqualTo("short");
        assertThat(table.find(inputFor("c.vtt")).name()).isEqualTo("regex");
        assertThat(table.find(inputFor("c")).name()).isEqualTo("rest");
        assertThat(table.skippedRoutes(inputFor("c.vtt")))
                .extracting(skipped -> skipped.route().name())
                .containsExactly("exact", "long", "short");
    }

    /**
     * Finds a route in the documented sequence: by order, kind of condition, prefix length and position; the first
     * match wins.
     */
    private static Route referenceFind(List<Route> routes, RouteInput input) {
        Route best = null;
        for (Route route : routes) {
            if (route.conditions().mismatch(input, null) == null && (best == null || isBefore(route, best))) {
                best = route;
            }
        }
        return best;
    }

    private static int specificity(RouteConditions conditions) {
        if (conditions.exact() != null) {
            return 0;
        }
        if (conditions.prefix() != null) {
            return 1;
        }
        return conditions.patterns().isEmpty() ? 3 : 2;
    }

    private static boolean isBefore(Route left, Route right) {
        if (left.order() != right.order()) {
            return left.order() < right.order();
        }
        int leftSpecificity = specificity(left.conditions());
        int rightSpecificity = specificity(right.conditions());
        if (leftSpecificity != rightSpecificity) {
            return leftSpecificity < rightSpecificity;
        }
        String leftPrefix = left.conditions().prefix();
        String rightPrefix = right.conditions().prefix();
        if (leftSpecificity == 1 && leftPrefix.length() != rightPrefix.length()) {
            return leftPrefix.length() > rightPrefix.length();
        }
        return left.position() < right.position();
    }

    private static String randomKey(SplittableRandom random, int maxLength) {
        StringBuilder key = new StringBuilder();
        for (int remaining = 1 + random.nextInt(maxLength); remaining > 0; remaining--) {
            key.append("ab/".charAt(random.nextInt(3)));
        }
        return key.toString();
    }

    private static Route randomRoute(SplittableRandom random, int position) {
        int specificity = random.nextInt(4);
        int order = random.nextInt(3);
        RouteConditions conditions = new RouteConditions(
                random.nextInt(4) == 0 ? Set.of("other") : Set.of(),
                null,
                specificity == 0 ? randomKey(random, 5) : null,
                specificity == 1 ? randomKey(random, 4) : null,
                specificity == 2 ? List.of(new KeyPattern(PATTERNS[random.nextInt(PATTERNS.length)])) : List.of(),
                random.nextInt(3) == 0 ? Set.of(random.nextInt(3)) : Set.of(),
                random.nextInt(4) == 0 ? Set.of(1) : Set.of(),
                random.nextInt(3) == 0 ? Boolean.valueOf(random.nextBoolean()) : null,
                random.nextInt(5) == 0 ? new KeyShare("s", 0, 5000) : null);
        return new Route("r" + position, order, position, conditions, KeyRewrite.NONE, null, POOL);
    }

    @Test
    void findsTheSameRouteAsAReferenceSearch() {
        SplittableRandom random = new SplittableRandom(21);
        for (int round = 0; round < 300; round++) {
            List<Route> routes = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                routes.add(randomRoute(random, i));
            }
            RouteTable table = new RouteTable(routes);
            Set<Route> found = new java.util.HashSet<>();
            for (int i = 0; i < 200; i++) {
                RouteInput input = new RouteInput(
                        random.nextBoolean() ? "main" : "other",
                        randomKey(random, 6),
                        random.nextInt(3),
                        random.nextInt(2),
                        random.nextBoolean());
                Route route = table.find(input);
                assertThat(route).isSameAs(referenceFind(routes, input));
                found.add(route);
                assertThat(table.skippedRoutes(input))
                        .hasSize(route == null ? routes.size() : table.routes().indexOf(route));
            }
            assertThat(table.shadowedRoutes())
                    .extracting(RouteTable.ShadowedRoute::route)
                    .doesNotContainAnyElementsOf(found);
        }
    }

    @Test
    void reportsRoutesThatNoRequestCanReach() {
        Route all = route("all", -1, 0, null, null, null);
        Route unreachable = route("under", 0, 1, null, "a", null);
        assertThat(new RouteTable(List.of(all, unreachable)).shadowedRoutes())
                .singleElement()
                .satisfies(shadowed -> {
                    assertThat(shadowed.route()).isSameAs(unreachable);
                    assertThat(shadowed.shadowedBy()).isSameAs(all);
                });
        assertThat(new RouteTable(List.of(
                                route("1", 0, 0, null, "a/", null),
                                route("2", 1, 1, null, "a/b", null),
                                route("3", 1, 2, "a/c", null, null),
                                route("4", 1, 3, null, null, "x"),
                                route("5", 2, 4, "xx", null, null),
                                route("6", 2, 5, null, null, "x"),
                                route("7", 2, 6, null, "b", null)))
                        .shadowedRoutes())
                .extracting(shadowed -> shadowed.route().name())
                .containsExactlyInAnyOrder("2", "3", "5", "6");
    }

    @Test
    void keySharesOfOneSaltPartitionTheKeys() {
        KeyShare fivePercent = new KeyShare("canary", 0, 500);
        KeyShare rest = new KeyShare("canary", 500, KeyShare.BUCKETS);
        int included = 0;
        for (int i = 0; i < 100_000; i++) {
            String key = "page/" + i;
            assertThat(fivePercent.contains(key)).isNotEqualTo(rest.contains(key));
            included += fivePercent.contains(key) ? 1 : 0;
        }
        assertThat(included).isBetween(4700, 5300);
        // If a key's bucket changed between releases, the key would move into or out of a canary release.
        assertThat(KeyShare.bucketOf("canary", "page/1"))
                .isEqualTo(KeyShare.bucketOf("canary", "page/1"))
                .isBetween(0, 9999);
    }

    @Test
    void rewritesKeysAndReturnsNullForIllegalOnes() {
        assertThat(new KeyRewrite("old/", null, null, "new/").apply("old/x")).isEqualTo("new/x");
        assertThat(new KeyRewrite("old/", null, null, "new/").apply("x")).isEqualTo("new/x");
        KeyPattern pattern = new KeyPattern("^([a-z]+)-(\\d+)$");
        assertThat(new KeyRewrite(null, pattern, "$2/$1$$", null).apply("ab-12"))
                .isEqualTo("12/ab$");
        assertThat(new KeyRewrite(null, pattern, "$1", null).apply("nothing")).isNull();
        assertThat(new KeyRewrite("x", null, null, null).apply("x")).isNull();
        assertThat(new KeyRewrite(null, null, null, "a".repeat(20)).apply("b".repeat(250)))
                .isNull();
        assertThat(new KeyRewrite(null, new KeyPattern("^(.*)$"), "$1 $1", null).apply("a"))
                .isNull();
        assertThatThrownBy(() -> new KeyRewrite(null, pattern, "$3", null)).hasMessageContaining("$3");
        assertThat(KeyRewrite.NONE.apply("k".repeat(250))).hasSize(250);
    }

    @Test
    void rejectsPatternsThatCannotRunInLinearTime() {
        KeyPattern pattern = new KeyPattern("^(a+)+$");
        assertThat(pattern.matches("a".repeat(249) + "!")).isFalse();
        assertThatThrownBy(() -> new KeyPattern("(a)\\1")).hasMessageContaining("back-references");
        assertThatThrownBy(() -> new KeyPattern("(?=a)b")).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new KeyPattern("((a{1,200}){1,200}){1,200}"))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new KeyPattern("a".repeat(1001))).hasMessageContaining("1000");
    }

    @Test
    void derivesARequiredPrefixOnlyWhereItIsCertain() {
        for (String[] expectation : new String[][] {
            {"^ab?c", "ac"},
            {"^ab*", "a"},
            {"^a{0,1}b", "b"},
            {"^a|b", "b"},
            {"^(ab)", "ab"},
            {"^a+", "aaa"},
            {"^a.b", "axb"},
            {"^a\\.b", "a.b"},
            {"(?i)^AB", "ab"},
            {"^", "x"}
        }) {
            assertThat(new KeyPattern(expectation[0]).matches(expectation[1]))
                    .as(expectation[0])
                    .isTrue();
        }
        assertThat(new KeyPattern("^abc").matches("xabc")).isFalse();
    }

    @Test
    void findsEachOfTenThousandExactAndPrefixRoutes() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            routes.add(route("e" + i, 0, 2 * i, "key/" + i, null, null));
            routes.add(route("p" + i, 0, 2 * i + 1, null, "pre/" + i + "/", null));
        }
        RouteTable table = new RouteTable(routes);
        for (int i = 0; i < 10_000; i++) {
            assertThat(table.find(inputFor("key/" + i)).name()).isEqualTo("e" + i);
            assertThat(table.find(inputFor("pre/" + i + "/x")).name()).isEqualTo("p" + i);
        }
        assertThat(table.find(inputFor("pre/10000/x"))).isNull();
    }
}
