package cacheproxy.nginx.importer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.config.ServerConfig;
import cacheproxy.daemon.RouteExplainer;
import cacheproxy.fakes.NginxReferenceModel;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.Directive;
import cacheproxy.nginx.Position;
import cacheproxy.routes.RouteInput;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the effect of directives on the imported file and on the report. */
class ImporterTest {
    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is one line of the source
    private static final String UPSTREAMS = "upstream u { hash $uri; server 10.0.0.1:80; server 10.0.0.2:80; }\n"
            + "upstream v { hash $uri; server 10.0.1.1:80; server 10.0.1.2:80; }\n";

    private static Importer.Result importText(String text, Map<String, String> dial) throws Exception {
        return Importer.run(
                new ConfParser.Conf(ConfParser.parse("n.conf", text), List.of(), 1, text.length()),
                new ImportOptions("127.0.0.1", 0, dial, "unsafe", 0));
    }

    private static Importer.Result importText(String text) throws Exception {
        return importText(text, Map.of());
    }

    private static DaemonConfig parsedConfig(Importer.Result result) throws Exception {
        return DaemonConfigReader.parse("imported", result.configText());
    }

    /** Returns the report's entries for a line, without their directives. */
    private static List<String> entriesOfLine(Importer.Result result, int line) {
        return result.report().entries().stream()
                .filter(entry -> entry.directive().position().line() == line)
                .map(entry -> entry.level().text + ": " + entry.text())
                .toList();
    }

    private static String explanation(DaemonConfig config, String key, boolean write) {
        RouteInput input = config.keys().parse(config.listeners().get(0).name(), key, write ? 1 : 0, 0, write);
        return new RouteExplainer(config).lines(input, false).get(0);
    }

    private static String configWithServer(String serverContent) {
        return UPSTREAMS + "server { listen 80;\n" + serverContent + "\n}";
    }

    @Test
    void reportsEveryDirective() throws Exception {
        Importer.Result result = importText(
                configWithServer("location / { proxy_pass http://u; frob 1; allow all; gzip on; proxy_cache c; }"));
        assertThat(result.report().entries())
                .extracting(entry -> entry.directive().name())
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
        assertThat(result.report().isComplete()).isFalse();
        assertThat(entriesOfLine(result, 4))
                .contains(
                        "not carried: this directive is not known here; what it does is not done",
                        "left: of HTTP towards clients, which have another protocol here")
                .anyMatch(entry -> entry.contains("no values are kept"))
                .anyMatch(entry -> entry.startsWith("not carried: nobody is turned away"));
        assertThat(importText(configWithServer("location / { proxy_pass http://u; }"))
                        .report()
                        .isComplete())
                .isTrue();
    }

    @Test
    void reportsUnsupportedPatternsByLineAndSkipsThem() throws Exception {
        Importer.Result result = importText(
                configWithServer(
                        "location ~ ^/(a|b)/\\1$ { proxy_pass http://v; }\nlocation ~ /x(?!y) { proxy_pass http://v; }\n"
                                + "location ~ (?<=z)q { proxy_pass http://v; }\nlocation ~ a++b { proxy_pass http://v; }\nlocation / { proxy_pass http://u; }"));
        assertThat(entriesOfLine(result, 4))
                .anyMatch(entry -> entry.startsWith("not carried: pattern can't be expressed (a back-reference"));
        assertThat(entriesOfLine(result, 5))
                .anyMatch(entry -> entry.startsWith("not carried: pattern can't be expressed (look-around"));
        assertThat(entriesOfLine(result, 6))
                .anyMatch(entry -> entry.startsWith("not carried: pattern can't be expressed (look-around"));
        assertThat(entriesOfLine(result, 7))
                .anyMatch(entry -> entry.startsWith("not carried: pattern can't be expressed ("));
        assertThat(parsedConfig(result).pools()).containsKeys("u", "v");
        assertThat(explanation(parsedConfig(result), "/a/a", false)).contains(" pool=u ");
    }

    @Test
    void matchesPrefixesByTextNotBySegments() throws Exception {
        DaemonConfig config = parsedConfig(importText(
                configWithServer("location /a { proxy_pass http://v; }\nlocation / { proxy_pass http://u; }\n"
                        + "location ^~ /s { proxy_pass http://u; }\nlocation ~ /s/t { proxy_pass http://v; }")));
        assertThat(explanation(config, "/ab", false)).contains(" pool=v ");
        assertThat(explanation(config, "/b", false)).contains(" pool=u ");
        assertThat(explanation(config, "/s/t", false)).contains(" pool=u ");
        assertThat(explanation(config, "/x/s/t", false)).contains(" pool=v ");
        assertThat(explanation(config, "/x%2Fs%2ft", false))
                .as("encoded slashes match like slashes")
                .contains(" pool=v ");
    }

    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is one line of the source
    @Test
    void reportsUnusableServersAndKeepsTheirShareOfKeys() throws Exception {
        String text =
                "upstream u { hash $uri consistent; server unix:/run/x.sock; server app.example:80; server 10.0.0.1:80;\n"
                        + "server 10.0.0.2:80 weight=0;\nserver 10.0.0.3:80 max_fails=0 max_conns=5; }\n"
                        + "server { listen 80; location / { proxy_pass http://u; } }";
        Importer.Result result = importText(text);
        assertThat(entriesOfLine(result, 1))
                .anyMatch(entry -> entry.startsWith("not carried: sockets of Unix"))
                .anyMatch(entry -> entry.contains("give it one by --dial app.example:80=ADDRESS:PORT"));
        assertThat(entriesOfLine(result, 2))
                .anyMatch(entry -> entry.contains("nginx refuses this: invalid parameter \"weight=0\""));
        assertThat(entriesOfLine(result, 3))
                .anyMatch(entry -> entry.startsWith("changed: max_fails=0"))
                .anyMatch(entry -> entry.startsWith("not carried: max_conns=5"));
        DaemonConfig config = parsedConfig(result);
        assertThat(config.pools().get("u").servers())
                .filteredOn(ServerConfig::down)
                .extracting(ServerConfig::name)
                .containsExactly("unix:/run/x.sock", "app.example:80", "10.0.0.2:80");
        // The keys of the other servers have not moved, because the ring still contains all servers.
        NginxReferenceModel model = new NginxReferenceModel(ConfParser.parse("n", text.replace(" weight=0", " down")));
        int kept = 0;
        for (int i = 0; i < 1000; i++) {
            String node = model.respond("*:80", "GET", "", "/" + i).node();
            if (node.startsWith("10.")) {
                assertThat(explanation(config, "/" + i, false)).endsWith("server=" + node);
                kept++;
            }
        }
        assertThat(kept).isBetween(250, 700);
        DaemonConfig withDialAddress = parsedConfig(importText(text, Map.of("app.example:80", "10.9.9.9:8080")));
        assertThat(withDialAddress.pools().get("u").servers())
                .filteredOn(server -> server.name().equals("app.example:80"))
                .singleElement()
                .satisfies(server -> assertThat(server.address().getPort()).isEqualTo(8080));
    }

    @Test
    void reportsBackupOfHashedUpstreamAsNginxDoes() throws Exception {
        Importer.Result result =
                importText("upstream u {\nhash $uri;\nserver 10.0.0.1:80;\nserver 10.0.0.2:80 backup; }\n"
                        + "server { location / { proxy_pass http://u; } }");
        assertThat(entriesOfLine(result, 4))
                .anyMatch(entry -> entry.contains(
                        "nginx refuses this: balancing method does not support parameter " + "\"backup\""));
        assertThat(parsedConfig(result).pools().get("u").servers().get(1).backup())
                .isTrue();
        Importer.Result methodLast =
                importText("upstream u {\nserver 10.0.0.1:80;\nserver 10.0.0.2:80 backup;\nhash $uri; }\n"
                        + "server { location / { proxy_pass http://u; } }");
        assertThat(methodLast.report().isComplete())
                .as("nginx accepts a backup that is written before the method")
                .isTrue();
    }

    @Test
    void usesFirstOfDuplicateUpstreamsAndThoseDefinedAfterUse() throws Exception {
        Importer.Result result = importText(
                "server { listen 80; location / { proxy_pass http://late; } }\nupstream late { hash $uri;\n"
                        + "server 10.0.0.1:80; }\nupstream late { server 10.0.0.9:80; }\nupstream empty { server 10.0.0.1:80 down; }");
        assertThat(entriesOfLine(result, 4))
                .anyMatch(entry -> entry.contains("nginx refuses this: duplicate upstream \"late\""));
        assertThat(entriesOfLine(result, 5)).anyMatch(entry -> entry.contains("none of its servers can be used"));
        assertThat(parsedConfig(result).pools().get("late").servers())
                .singleElement()
                .satisfies(server -> assertThat(server.name()).isEqualTo("10.0.0.1:80"));
    }

    @Test
    void importsWritesAsNonIdempotent() throws Exception {
        Importer.Result result = importText(
                configWithServer("location / { proxy_pass http://u;\nproxy_next_upstream error non_idempotent; }"));
        assertThat(entriesOfLine(result, 5))
                .anyMatch(entry -> entry.startsWith("not carried: non_idempotent is refused"));
        DaemonConfig config = parsedConfig(result);
        assertThat(config.classes()
                        .get(config.classIndex(config.listeners().get(0).writeClass()))
                        .idempotency())
                .isEqualTo(cacheproxy.policy.Idempotency.NON_IDEMPOTENT);
    }

    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is one line of the source
    @Test
    void reportsVariablesThatKeysLackAndTheConsequence() throws Exception {
        Importer.Result result = importText(
                "map $http_x_canary $p { default u; 1 v; }\nsplit_clients $remote_addr $q { 10% v; * u; }\n"
                        + "geo $g { default u; 10.0.0.0/8 v; }\n"
                        + configWithServer(
                                "if ($http_user_agent ~ bot) { return 403; }\n"
                                        + "location / { proxy_pass http://$p; }\nlocation /q/ { proxy_pass http://$q; }\nlocation /g/ { proxy_pass http://$g; }\n"
                                        + "location /w/ { proxy_pass http://$host; }\nlocation /f/ { fastcgi_pass 127.0.0.1:9000; }"));
        assertThat(entriesOfLine(result, 1)).anyMatch(entry -> entry.contains("the default, 'u', is taken for all"));
        assertThat(entriesOfLine(result, 2))
                .anyMatch(entry -> entry.contains("nothing is split, 'u' is taken for all"));
        assertThat(entriesOfLine(result, 3)).anyMatch(entry -> entry.contains("the default is taken for all"));
        assertThat(entriesOfLine(result, 7)).anyMatch(entry -> entry.contains("requests are taken as if it did not"));
        assertThat(entriesOfLine(result, 11))
                .anyMatch(entry -> entry.contains("names a server that no key tells; these requests fail"));
        assertThat(entriesOfLine(result, 12)).anyMatch(entry -> entry.contains("not spoken here; these requests fail"));
        DaemonConfig config = parsedConfig(result);
        assertThat(explanation(config, "h.example/x", false)).contains(" pool=u ");
        assertThat(explanation(config, "h.example/g/x", false)).contains(" pool=u ");
        assertThat(explanation(config, "h.example/f/x", false)).contains("answer=failed");
    }

    @Test
    void failsAndReportsRequestsOfRewriteLoops() throws Exception {
        Importer.Result result = importText(configWithServer(
                "location /a/ { rewrite ^/a/(.*)$ /b/$1 last; }\nlocation /b/ { rewrite ^/b/(.*)$ /a/$1 last; }\n"
                        + "location / { proxy_pass http://u; }"));
        DaemonConfig config = parsedConfig(result);
        assertThat(result.report().isComplete()).isFalse();
        assertThat(explanation(config, "/a/1", false)).doesNotContain("pool=u");
    }

    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is one line of the source
    @Test
    void translatesMethodsToReadsAndWrites() throws Exception {
        DaemonConfig config = parsedConfig(importText(configWithServer(
                "location / { if ($request_method !~ ^(GET|HEAD)$) { proxy_pass http://v; } proxy_pass http://u; }\n"
                        + "location /doc/ { if ($request_method = POST) { return 405; } proxy_pass http://u; }\n"
                        + "location /ro/ { limit_except GET { deny all; } proxy_pass http://u; }")));
        assertThat(explanation(config, "/x", true)).contains(" pool=v ");
        assertThat(explanation(config, "/x", false)).contains(" pool=u ");
        for (String key : List.of("/doc/x", "/ro/x")) {
            assertThat(explanation(config, key, true)).contains("answer=failed");
            assertThat(explanation(config, key, false)).contains(" pool=u ");
        }
    }

    @Test
    void notesShareOfKeysThatWouldMoveToCarp() throws Exception {
        assertThat(importText(configWithServer("location / { proxy_pass http://u; }"))
                        .report()
                        .notes())
                .anyMatch(note -> note.matches(
                        "pool u: going over to CARP would move (4[89]|5[012])\\.[0-9]% of its keys to another server"));
    }

    /** Guards against an invalid timeout being used as the shortest timeout of all. */
    @Test
    void reportsAndIgnoresTimeoutsThatAreNotDurations() throws Exception {
        Importer.Result result = importText(UPSTREAMS
                + "proxy_connect_timeout $slow; proxy_read_timeout soon;\n"
                + configWithServer("location / { proxy_pass http://u; proxy_connect_timeout 2s; }"));
        assertThat(parsedConfig(result).limits().connectTimeoutMs()).isEqualTo(2000);
        assertThat(result.report().entries())
                .filteredOn(entry -> entry.level() == Report.Level.NOT)
                .extracting(entry -> entry.directive().name())
                .contains("proxy_connect_timeout", "proxy_read_timeout");
    }

    /** Guards against the lines of the report changing their order from one run to the next. */
    @Test
    void reportsDroppedDirectivesInFileOrder() {
        for (int attempt = 0; attempt < 20; attempt++) {
            Report report = new Report();
            List<String> names = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                names.add("dropped" + i);
                report.add(
                        new Directive("dropped" + i, List.of(), null, "", new Position("n.conf", i + 1, 1)),
                        Report.Level.NOT,
                        "");
            }
            report.finish(new ConfParser.Conf(List.of(), List.of(), 1, 0));
            assertThat(report.entries())
                    .extracting(entry -> entry.directive().name())
                    .containsExactlyElementsOf(names);
        }
    }
}
