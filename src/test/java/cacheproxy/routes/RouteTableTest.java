package cacheproxy.routes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Routes: the first match against a plain statement of the order, rewrites, shares and what no request reaches. */
class RouteTableTest {
    private static final Route.Action POOL = new Route.ToPools(List.of("a"));

    private static Route route(String name, int order, int position, String exact, String prefix, String regex) {
        return new Route(
                name,
                order,
                position,
                Set.of(),
                exact,
                prefix,
                regex == null ? null : new KeyPattern(regex),
                Set.of(),
                Set.of(),
                null,
                null,
                KeyRewrite.NONE,
                POOL);
    }

    private static RouteInput read(String key) {
        return new RouteInput("main", key, 0, 0, false);
    }

    @Test
    void exactThenLongestPrefixThenPatternsThenTheRest() {
        RouteTable table = new RouteTable(List.of(
                route("rest", 0, 0, null, null, null),
                route("regex", 0, 1, null, null, "\\.vtt$"),
                route("short", 0, 2, null, "a/", null),
                route("long", 0, 3, null, "a/b/", null),
                route("exact", 0, 4, "a/b/c", null, null)));
        assertThat(table.find(read("a/b/c")).name()).isEqualTo("exact");
        assertThat(table.find(read("a/b/c.vtt")).name()).isEqualTo("long");
        assertThat(table.find(read("a/c.vtt")).name()).isEqualTo("short");
        assertThat(table.find(read("c.vtt")).name()).isEqualTo("regex");
        assertThat(table.find(read("c")).name()).isEqualTo("rest");
        assertThat(table.passedOver(read("c.vtt")))
                .extracting(p -> p.route().name())
                .containsExactly("exact", "long", "short");
    }

    /** The documented order, restated: sort by order, kind, prefix length and place; take the first that fits. */
    private static Route plainly(List<Route> routes, RouteInput s) {
        Route best = null;
        for (Route r : routes) {
            if (r.misfit(s, null) == null && (best == null || before(r, best))) {
                best = r;
            }
        }
        return best;
    }

    private static boolean before(Route a, Route b) {
        if (a.order() != b.order()) {
            return a.order() < b.order();
        }
        int ka = a.exact() != null ? 0 : a.prefix() != null ? 1 : !a.patterns().isEmpty() ? 2 : 3;
        int kb = b.exact() != null ? 0 : b.prefix() != null ? 1 : !b.patterns().isEmpty() ? 2 : 3;
        if (ka != kb) {
            return ka < kb;
        }
        if (ka == 1 && a.prefix().length() != b.prefix().length()) {
            return a.prefix().length() > b.prefix().length();
        }
        return a.position() < b.position();
    }

    private static String text(SplittableRandom random, int most) {
        StringBuilder b = new StringBuilder();
        for (int n = 1 + random.nextInt(most); n > 0; n--) {
            b.append("ab/".charAt(random.nextInt(3)));
        }
        return b.toString();
    }

    @Test
    void aCompiledTableFindsWhatThePlainOrderFinds() {
        SplittableRandom random = new SplittableRandom(21);
        String[] patterns = {"^a+/", "b$", "a/b", "^(a|b)", "^ab?/", "//"};
        for (int round = 0; round < 300; round++) {
            List<Route> routes = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                int kind = random.nextInt(4);
                routes.add(new Route(
                        "r" + i,
                        random.nextInt(3),
                        i,
                        random.nextInt(4) == 0 ? Set.of("other") : Set.of(),
                        kind == 0 ? text(random, 5) : null,
                        kind == 1 ? text(random, 4) : null,
                        kind == 2 ? new KeyPattern(patterns[random.nextInt(patterns.length)]) : null,
                        random.nextInt(3) == 0 ? Set.of(random.nextInt(3)) : Set.of(),
                        random.nextInt(4) == 0 ? Set.of(1) : Set.of(),
                        random.nextInt(3) == 0 ? Boolean.valueOf(random.nextBoolean()) : null,
                        random.nextInt(5) == 0 ? new KeyShare("s", 0, 5000) : null,
                        KeyRewrite.NONE,
                        POOL));
            }
            RouteTable table = new RouteTable(routes);
            Set<Route> found = new java.util.HashSet<>();
            for (int i = 0; i < 200; i++) {
                RouteInput s = new RouteInput(
                        random.nextBoolean() ? "main" : "other",
                        text(random, 6),
                        random.nextInt(3),
                        random.nextInt(2),
                        random.nextBoolean());
                Route r = table.find(s);
                assertThat(r).isSameAs(plainly(routes, s));
                found.add(r);
                assertThat(table.passedOver(s))
                        .hasSize(r == null ? routes.size() : table.routes().indexOf(r));
            }
            assertThat(table.shadowed()).extracting(RouteTable.Shadowed::route).doesNotContainAnyElementsOf(found);
        }
    }

    @Test
    void whatNoRequestCanReachIsFound() {
        Route all = route("all", -1, 0, null, null, null);
        Route under = route("under", 0, 1, null, "a", null);
        assertThat(new RouteTable(List.of(all, under)).shadowed())
                .singleElement()
                .satisfies(s -> {
                    assertThat(s.route()).isSameAs(under);
                    assertThat(s.by()).isSameAs(all);
                });
        assertThat(new RouteTable(List.of(
                                route("1", 0, 0, null, "a/", null),
                                route("2", 1, 1, null, "a/b", null),
                                route("3", 1, 2, "a/c", null, null),
                                route("4", 1, 3, null, null, "x"),
                                route("5", 2, 4, "xx", null, null),
                                route("6", 2, 5, null, null, "x"),
                                route("7", 2, 6, null, "b", null)))
                        .shadowed())
                .extracting(s -> s.route().name())
                .containsExactlyInAnyOrder("2", "3", "5", "6");
    }

    @Test
    void aShareIsStableAndOfItsSizeAndSharesOfOneSaltSplitTheKeys() {
        KeyShare five = new KeyShare("canary", 0, 500);
        KeyShare rest = new KeyShare("canary", 500, KeyShare.ALL);
        int in = 0;
        for (int i = 0; i < 100_000; i++) {
            String key = "page/" + i;
            assertThat(five.has(key)).isNotEqualTo(rest.has(key));
            in += five.has(key) ? 1 : 0;
        }
        assertThat(in).isBetween(4700, 5300);
        // Worked out once: a share that moved between releases would move canaries' keys.
        assertThat(KeyShare.place("canary", "page/1"))
                .isEqualTo(KeyShare.place("canary", "page/1"))
                .isBetween(0, 9999);
    }

    @Test
    void rewritesStripAddAndBuildFromGroupsAndRefuseIllegalKeys() {
        assertThat(new KeyRewrite("old/", null, null, "new/").apply("old/x")).isEqualTo("new/x");
        assertThat(new KeyRewrite("old/", null, null, "new/").apply("x")).isEqualTo("new/x");
        KeyPattern p = new KeyPattern("^([a-z]+)-(\\d+)$");
        assertThat(new KeyRewrite(null, p, "$2/$1$$", null).apply("ab-12")).isEqualTo("12/ab$");
        assertThat(new KeyRewrite(null, p, "$1", null).apply("nothing")).isNull();
        assertThat(new KeyRewrite("x", null, null, null).apply("x")).isNull();
        assertThat(new KeyRewrite(null, null, null, "a".repeat(20)).apply("b".repeat(250)))
                .isNull();
        assertThat(new KeyRewrite(null, new KeyPattern("^(.*)$"), "$1 $1", null).apply("a"))
                .isNull();
        assertThatThrownBy(() -> new KeyRewrite(null, p, "$3", null)).hasMessageContaining("$3");
        assertThat(KeyRewrite.NONE.apply("k".repeat(250))).hasSize(250);
    }

    @Test
    void aHostilePatternCostsNoMoreThanTheKeysLength() {
        KeyPattern p = new KeyPattern("^(a+)+$");
        assertThat(p.matches("a".repeat(249) + "!")).isFalse();
        assertThatThrownBy(() -> new KeyPattern("(a)\\1")).hasMessageContaining("back-references");
        assertThatThrownBy(() -> new KeyPattern("(?=a)b")).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new KeyPattern("((a{1,200}){1,200}){1,200}"))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new KeyPattern("a".repeat(1001))).hasMessageContaining("1000");
    }

    @Test
    void whatMustStandAtTheBeginningIsReadFromTheExpressionOnlyWhereItIsSure() {
        for (String[] c : new String[][] {
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
            assertThat(new KeyPattern(c[0]).matches(c[1])).as(c[0]).isTrue();
        }
        assertThat(new KeyPattern("^abc").matches("xabc")).isFalse();
    }

    @Test
    void tenThousandRoutesOfEachKindAreFound() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            routes.add(route("e" + i, 0, 2 * i, "key/" + i, null, null));
            routes.add(route("p" + i, 0, 2 * i + 1, null, "pre/" + i + "/", null));
        }
        RouteTable table = new RouteTable(routes);
        for (int i = 0; i < 10_000; i++) {
            assertThat(table.find(read("key/" + i)).name()).isEqualTo("e" + i);
            assertThat(table.find(read("pre/" + i + "/x")).name()).isEqualTo("p" + i);
        }
        assertThat(table.find(read("pre/10000/x"))).isNull();
    }
}
