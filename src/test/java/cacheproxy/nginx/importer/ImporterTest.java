package cacheproxy.nginx.importer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.config.ServerConfig;
import cacheproxy.daemon.RouteExplainer;
import cacheproxy.fakes.NginxReferenceModel;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.Directive;
import cacheproxy.routes.RouteInput;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What becomes of directives, in the file and in the report; the location search against the model on random trees. */
class ImporterTest {
    @SuppressWarnings("StringConcatToTextBlock") // one line of the text a line of the source
    private static final String U = "upstream u { hash $uri; server 10.0.0.1:80; server 10.0.0.2:80; }\n"
            + "upstream v { hash $uri; server 10.0.1.1:80; server 10.0.1.2:80; }\n";

    private static Importer.Result run(String text, Map<String, String> dial) throws Exception {
        return Importer.run(
                new ConfParser.Conf(ConfParser.parse("n.conf", text), List.of(), 1, text.length()),
                new ImportOptions("127.0.0.1", 0, dial, "unsafe", 0));
    }

    private static Importer.Result run(String text) throws Exception {
        return run(text, Map.of());
    }

    private static DaemonConfig file(Importer.Result r) throws Exception {
        return DaemonConfigReader.parse("imported", r.file());
    }

    /** What the report says of a line, without its directive. */
    private static List<String> said(Importer.Result r, int line) {
        return r.report().entries().stream()
                .filter(e -> e.directive().at().line() == line)
                .map(e -> e.level().text + ": " + e.text())
                .toList();
    }

    private static String explained(DaemonConfig f, String key, boolean write) {
        RouteInput s = f.keys().parse(f.listeners().get(0).name(), key, write ? 1 : 0, 0, write);
        return new RouteExplainer(f).lines(s, false).get(0);
    }

    private static String site(String inServer) {
        return U + "server { listen 80;\n" + inServer + "\n}";
    }

    @Test
    void everyDirectiveHasAnEntry() throws Exception {
        Importer.Result r = run(site("location / { proxy_pass http://u; frob 1; allow all; gzip on; proxy_cache c; }"));
        assertThat(r.report().entries())
                .extracting(e -> e.directive().name())
                .contains(
                        "upstream",
                        "hash",
                        "server",
                        "listen",
                        "location",
                        "proxy_pass",
                        "frob",
                        "allow",
                        "gzip",
                        "proxy_cache");
        assertThat(r.report().complete()).isFalse();
        assertThat(said(r, 4))
                .contains(
                        "not carried: this directive is not known here; what it does is not done",
                        "left: of HTTP towards clients, which have another protocol here")
                .anyMatch(s -> s.contains("no values are kept"))
                .anyMatch(s -> s.startsWith("not carried: nobody is turned away"));
        assertThat(run(site("location / { proxy_pass http://u; }")).report().complete())
                .isTrue();
    }

    @Test
    void patternsThatRoutesCantExpressAreToldByLineAndNeverGuessed() throws Exception {
        Importer.Result r = run(
                site(
                        "location ~ ^/(a|b)/\\1$ { proxy_pass http://v; }\nlocation ~ /x(?!y) { proxy_pass http://v; }\n"
                                + "location ~ (?<=z)q { proxy_pass http://v; }\nlocation ~ a++b { proxy_pass http://v; }\nlocation / { proxy_pass http://u; }"));
        assertThat(said(r, 4)).anyMatch(s -> s.startsWith("not carried: pattern can't be expressed (a back-reference"));
        assertThat(said(r, 5)).anyMatch(s -> s.startsWith("not carried: pattern can't be expressed (look-around"));
        assertThat(said(r, 6)).anyMatch(s -> s.startsWith("not carried: pattern can't be expressed (look-around"));
        assertThat(said(r, 7)).anyMatch(s -> s.startsWith("not carried: pattern can't be expressed ("));
        assertThat(file(r).pools()).containsKeys("u", "v");
        assertThat(explained(file(r), "/a/a", false)).contains(" pool=u ");
    }

    @Test
    void prefixesAreHeldAgainstTextNotAgainstSegments() throws Exception {
        DaemonConfig f = file(run(site("location /a { proxy_pass http://v; }\nlocation / { proxy_pass http://u; }\n"
                + "location ^~ /s { proxy_pass http://u; }\nlocation ~ /s/t { proxy_pass http://v; }")));
        assertThat(explained(f, "/ab", false)).contains(" pool=v ");
        assertThat(explained(f, "/b", false)).contains(" pool=u ");
        assertThat(explained(f, "/s/t", false)).contains(" pool=u ");
        assertThat(explained(f, "/x/s/t", false)).contains(" pool=v ");
        assertThat(explained(f, "/x%2Fs%2ft", false))
                .as("encoded slashes are slashes")
                .contains(" pool=v ");
    }

    @SuppressWarnings("StringConcatToTextBlock") // one line of the text a line of the source
    @Test
    void serversThatCantBeHadAreToldAndKeepTheirPartOfTheKeys() throws Exception {
        String text =
                "upstream u { hash $uri consistent; server unix:/run/x.sock; server app.example:80; server 10.0.0.1:80;\n"
                        + "server 10.0.0.2:80 weight=0;\nserver 10.0.0.3:80 max_fails=0 max_conns=5; }\n"
                        + "server { listen 80; location / { proxy_pass http://u; } }";
        Importer.Result r = run(text);
        assertThat(said(r, 1))
                .anyMatch(s -> s.startsWith("not carried: sockets of Unix"))
                .anyMatch(s -> s.contains("give it one by --dial app.example:80=ADDRESS:PORT"));
        assertThat(said(r, 2)).anyMatch(s -> s.contains("nginx refuses this: invalid parameter \"weight=0\""));
        assertThat(said(r, 3))
                .anyMatch(s -> s.startsWith("changed: max_fails=0"))
                .anyMatch(s -> s.startsWith("not carried: max_conns=5"));
        DaemonConfig f = file(r);
        assertThat(f.pools().get("u").servers())
                .filteredOn(ServerConfig::down)
                .extracting(ServerConfig::name)
                .containsExactly("unix:/run/x.sock", "app.example:80", "10.0.0.2:80");
        // The keys of the others are where they were: on the ring with all of them.
        NginxReferenceModel model = new NginxReferenceModel(ConfParser.parse("n", text.replace(" weight=0", " down")));
        int kept = 0;
        for (int i = 0; i < 1000; i++) {
            String node = model.ask("*:80", "GET", "", "/" + i).node();
            if (node.startsWith("10.")) {
                assertThat(explained(f, "/" + i, false)).endsWith("server=" + node);
                kept++;
            }
        }
        assertThat(kept).isBetween(250, 700);
        DaemonConfig told = file(run(text, Map.of("app.example:80", "10.9.9.9:8080")));
        assertThat(told.pools().get("u").servers())
                .filteredOn(s -> s.name().equals("app.example:80"))
                .singleElement()
                .satisfies(s -> assertThat(s.address().getPort()).isEqualTo(8080));
    }

    @Test
    void aHashWithABackupIsToldAsNginxTellsIt() throws Exception {
        Importer.Result r = run("upstream u {\nhash $uri;\nserver 10.0.0.1:80;\nserver 10.0.0.2:80 backup; }\n"
                + "server { location / { proxy_pass http://u; } }");
        assertThat(said(r, 4))
                .anyMatch(s ->
                        s.contains("nginx refuses this: balancing method does not support parameter " + "\"backup\""));
        assertThat(file(r).pools().get("u").servers().get(1).backup()).isTrue();
        Importer.Result after = run("upstream u {\nserver 10.0.0.1:80;\nserver 10.0.0.2:80 backup;\nhash $uri; }\n"
                + "server { location / { proxy_pass http://u; } }");
        assertThat(after.report().complete())
                .as("written before the method, nginx takes it")
                .isTrue();
    }

    @Test
    void upstreamsWrittenTwiceOrAfterTheirUse() throws Exception {
        Importer.Result r = run(
                "server { listen 80; location / { proxy_pass http://late; } }\nupstream late { hash $uri;\n"
                        + "server 10.0.0.1:80; }\nupstream late { server 10.0.0.9:80; }\nupstream empty { server 10.0.0.1:80 down; }");
        assertThat(said(r, 4)).anyMatch(s -> s.contains("nginx refuses this: duplicate upstream \"late\""));
        assertThat(said(r, 5)).anyMatch(s -> s.contains("none of its servers can be used"));
        assertThat(file(r).pools().get("late").servers())
                .singleElement()
                .satisfies(s -> assertThat(s.name()).isEqualTo("10.0.0.1:80"));
    }

    @Test
    void effectsAreTakenForTheWorst() throws Exception {
        Importer.Result r = run(site("location / { proxy_pass http://u;\nproxy_next_upstream error non_idempotent; }"));
        assertThat(said(r, 5)).anyMatch(s -> s.startsWith("not carried: non_idempotent is refused"));
        DaemonConfig f = file(r);
        assertThat(f.classes()
                        .get(f.classIndex(f.listeners().get(0).writeClass()))
                        .idempotency())
                .isEqualTo(cacheproxy.policy.Idempotency.NON_IDEMPOTENT);
    }

    @SuppressWarnings("StringConcatToTextBlock") // one line of the text a line of the source
    @Test
    void whatKeysDoNotTellIsToldWithItsConsequence() throws Exception {
        Importer.Result r = run(
                "map $http_x_canary $p { default u; 1 v; }\nsplit_clients $remote_addr $q { 10% v; * u; }\n"
                        + "geo $g { default u; 10.0.0.0/8 v; }\n"
                        + site(
                                "if ($http_user_agent ~ bot) { return 403; }\n"
                                        + "location / { proxy_pass http://$p; }\nlocation /q/ { proxy_pass http://$q; }\nlocation /g/ { proxy_pass http://$g; }\n"
                                        + "location /w/ { proxy_pass http://$host; }\nlocation /f/ { fastcgi_pass 127.0.0.1:9000; }"));
        assertThat(said(r, 1)).anyMatch(s -> s.contains("the default, 'u', is taken for all"));
        assertThat(said(r, 2)).anyMatch(s -> s.contains("nothing is split, 'u' is taken for all"));
        assertThat(said(r, 3)).anyMatch(s -> s.contains("the default is taken for all"));
        assertThat(said(r, 7)).anyMatch(s -> s.contains("requests are taken as if it did not"));
        assertThat(said(r, 11)).anyMatch(s -> s.contains("names a server that no key tells; these requests fail"));
        assertThat(said(r, 12)).anyMatch(s -> s.contains("not spoken here; these requests fail"));
        DaemonConfig f = file(r);
        assertThat(explained(f, "h.example/x", false)).contains(" pool=u ");
        assertThat(explained(f, "h.example/g/x", false)).contains(" pool=u ");
        assertThat(explained(f, "h.example/f/x", false)).contains("answer=failed");
    }

    @Test
    void rewritesThatGoRoundOrAstrayFailAndAreTold() throws Exception {
        Importer.Result r = run(
                site("location /a/ { rewrite ^/a/(.*)$ /b/$1 last; }\nlocation /b/ { rewrite ^/b/(.*)$ /a/$1 last; }\n"
                        + "location / { proxy_pass http://u; }"));
        DaemonConfig f = file(r);
        assertThat(r.report().complete()).isFalse();
        assertThat(explained(f, "/a/1", false)).doesNotContain("pool=u");
    }

    @SuppressWarnings("StringConcatToTextBlock") // one line of the text a line of the source
    @Test
    void methodsBecomeReadsAndWrites() throws Exception {
        DaemonConfig f = file(run(site(
                "location / { if ($request_method !~ ^(GET|HEAD)$) { proxy_pass http://v; } proxy_pass http://u; }\n"
                        + "location /doc/ { if ($request_method = POST) { return 405; } proxy_pass http://u; }\n"
                        + "location /ro/ { limit_except GET { deny all; } proxy_pass http://u; }")));
        assertThat(explained(f, "/x", true)).contains(" pool=v ");
        assertThat(explained(f, "/x", false)).contains(" pool=u ");
        for (String key : List.of("/doc/x", "/ro/x")) {
            assertThat(explained(f, key, true)).contains("answer=failed");
            assertThat(explained(f, key, false)).contains(" pool=u ");
        }
    }

    @Test
    void movingToCarpIsComputed() throws Exception {
        assertThat(run(site("location / { proxy_pass http://u; }")).report().notes())
                .anyMatch(n -> n.matches(
                        "pool u: going over to CARP would move (4[89]|5[012])\\.[0-9]% of its keys to another server"));
    }

    // ---- the search for a location

    private static String text(SplittableRandom random) {
        StringBuilder t = new StringBuilder("/");
        for (int n = random.nextInt(4); n > 0; n--) {
            t.append("ab/".charAt(random.nextInt(3)));
        }
        return t.toString();
    }

    private static void locations(SplittableRandom random, String within, int depth, int[] next, StringBuilder out) {
        for (int n = random.nextInt(depth == 0 ? 6 : 3); n > 0; n--) {
            int kind = random.nextInt(6);
            String t = within + text(random).substring(within.isEmpty() ? 0 : 1);
            String head = switch (kind) {
                case 0 -> "= " + t;
                case 1 -> "^~ " + t;
                case 2 -> "~ " + text(random).substring(1) + "[ab]" + (random.nextBoolean() ? "$" : "");
                case 3 -> "~* ^/" + "AB".charAt(random.nextInt(2));
                default -> t;
            };
            if (head.equals("= ") || t.isEmpty()) {
                continue;
            }
            int id = next[0]++;
            out.append("location ")
                    .append(head)
                    .append(" { proxy_pass http://10.0.")
                    .append(id / 250)
                    .append('.')
                    .append(id % 250 + 1)
                    .append(":80;\n");
            if (depth < 3 && kind != 0) {
                locations(random, kind == 2 || kind == 3 ? "/" : t, depth + 1, next, out);
            }
            out.append("}\n");
        }
    }

    @Test
    void theSearchForALocationIsTheDocumentedOneOnRandomTrees() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        int found = 0;
        for (int round = 0; round < 1000; round++) {
            StringBuilder conf = new StringBuilder("upstream spare { server 10.9.0.1:80; }\nserver { listen 80;\n");
            locations(random, "", 0, new int[1], conf);
            conf.append("location = /never/asked { proxy_pass http://spare; }\n}\n");
            List<Directive> tree = ConfParser.parse("r.conf", conf.toString());
            Importer.Result r = Importer.run(
                    new ConfParser.Conf(tree, List.of(), 1, 1),
                    new ImportOptions("127.0.0.1", 0, Map.of(), "unsafe", 0));
            DaemonConfig f = file(r);
            // The model does not know what nginx refuses to start with: such trees are not compared.
            if (r.report().lines().stream().anyMatch(l -> l.contains("nginx refuses"))) {
                continue;
            }
            NginxReferenceModel model = new NginxReferenceModel(tree);
            for (int i = 0; i < 60; i++) {
                String key = text(random) + text(random).substring(1);
                NginxReferenceModel.Answer a = model.ask("*:80", "GET", "", key);
                String here = explained(f, key, false);
                if (a.status() != 0) {
                    assertThat(here).as(conf + key).contains("answer=failed");
                } else {
                    assertThat(here).as(conf + key).contains(" pool=" + a.pool() + " ");
                    found++;
                }
            }
        }
        assertThat(found).isGreaterThan(6000);
    }
}
