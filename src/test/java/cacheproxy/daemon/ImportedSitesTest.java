package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.FakeNginx;
import cacheproxy.fakes.NginxReferenceModel;
import cacheproxy.fakes.ScriptedServer;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.ConfSource;
import cacheproxy.nginx.importer.ImportOptions;
import cacheproxy.nginx.importer.Importer;
import cacheproxy.routes.PathKey;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Imports typical nginx configurations, and sends a thousand keys for each through a model of nginx with the original
 * configuration and through the daemon with the imported one. The servers report which of them received a request and
 * with which path.
 */
class ImportedSitesTest {
    private static final int KEYS = 1000;
    private static final Pattern SERVER = Pattern.compile(
            "(?:server|proxy_pass|set \\$to)\\s+(?:http://)?" + "((?:[0-9]+\\.){3}[0-9]+(?::[0-9]+)?|\\[::1]:[0-9]+)");

    static Stream<Path> sites() throws Exception {
        URI at = ImportedSitesTest.class.getResource("/nginx").toURI();
        try (Stream<Path> files = Files.list(Path.of(at))) {
            return files.filter(p -> p.toString().endsWith(".conf")).sorted().toList().stream();
        }
    }

    private static ConfSource singleFileSource(Path file) {
        return new ConfSource() {
            @Override
            public String read(String path) {
                try {
                    return Files.readString(file, StandardCharsets.ISO_8859_1);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }

            @Override
            public List<String> glob(String pattern) {
                return List.of();
            }
        };
    }

    /** Returns the words after {@code # NAME} in the lines of a file. */
    private static List<String> headWords(String text, String name) {
        return text.lines()
                .filter(l -> l.startsWith("# " + name + " "))
                .flatMap(l -> Arrays.stream(l.substring(name.length() + 3).split(" ")))
                .toList();
    }

    @ParameterizedTest
    @MethodSource("sites")
    void routesEveryKeyToSameServerAsNginx(Path file) throws Exception {
        String text = Files.readString(file, StandardCharsets.ISO_8859_1);
        Map<String, String> dial = new LinkedHashMap<>();
        Map<String, String> names = new LinkedHashMap<>();
        List<ScriptedServer> nodes = new ArrayList<>();
        Matcher m = SERVER.matcher(text);
        Set<String> addresses = new LinkedHashSet<>();
        while (m.find()) {
            addresses.add(m.group(1));
        }
        try {
            for (String address : addresses) {
                // Two spellings of an address denote the same server.
                String full = address.matches(".*[\\].0-9]:[0-9]+") ? address : address + ":80";
                String known = names.get(full);
                if (known == null) {
                    ScriptedServer node = ScriptedServer.node(
                            command -> value(full + " " + command.split(" ", 0)[1], ScriptedServer.requestId(command)));
                    nodes.add(node);
                    known = node.dial();
                    names.put(full, known);
                }
                dial.put(address, known);
            }
            ConfParser.Conf conf =
                    ConfParser.read(singleFileSource(file), file.getFileName().toString());
            Importer.Result imported = Importer.run(conf, new ImportOptions("127.0.0.1", 0, dial, "unsafe", 0));
            assertThat(imported.configText()).isNotNull();
            DaemonConfig daemonFile = DaemonConfigReader.parse("imported", imported.configText());
            try (FakeNginx nginx = new FakeNginx(new NginxReferenceModel(conf.directives()));
                    Daemon daemon = Daemon.start(daemonFile, 3)) {
                replay(
                        text,
                        imported,
                        nginx,
                        daemon,
                        daemonFile.listeners().get(0).name());
            }
        } finally {
            for (ScriptedServer n : nodes) {
                n.close();
            }
        }
    }

    private static String value(String text, String id) {
        return "VA " + text.length() + " O" + id + "\r\n" + text + "\r\n";
    }

    private static void replay(String text, Importer.Result imported, FakeNginx nginx, Daemon daemon, String listener)
            throws Exception {
        List<String> hosts = headWords(text, "host");
        List<String> templates = headWords(text, "key");
        int sent = 0;
        int forwarded = 0;
        try (Socket http =
                        new Socket(nginx.address().getAddress(), nginx.address().getPort());
                DaemonHarness.ManualClient cache = new DaemonHarness.ManualClient(daemon.address(listener))) {
            http.setTcpNoDelay(true);
            InputStream raw = http.getInputStream();
            BufferedReader in = new BufferedReader(new InputStreamReader(raw, StandardCharsets.ISO_8859_1));
            for (int i = 0; sent < KEYS; i++) {
                for (String template : templates) {
                    String host = hosts.get(i % hosts.size()).replace("-", "").replaceFirst("^\\.$", "");
                    String uri = template.replace("{n}", Integer.toString(i * 7919 % 100_003));
                    http.getOutputStream()
                            .write(("GET " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    Map<String, String> answer = headers(in);
                    String key = (imported.hostInKeys() ? host : "") + uri;
                    cache.send("mg " + key + " v\r\n");
                    String line = cache.line();
                    sent++;
                    if (answer.get("X-Node") == null) {
                        assertThat(line)
                                .as(key + " is answered by nginx itself, " + answer)
                                .startsWith("SERVER_ERROR");
                        continue;
                    }
                    assertThat(line).as(key + " goes to " + answer).startsWith("VA ");
                    String[] reply = cache.line().split(" ", 0);
                    forwarded++;
                    if (!answer.get("X-Node").equals("-")) {
                        String node = answer.get("X-Node");
                        assertThat(reply[0])
                                .as(key)
                                .isEqualTo(node.matches(".*[\\].0-9]:[0-9]+") ? node : node + ":80");
                    }
                    assertThat(PathKey.parse(reply[1]).path())
                            .as("path that the server receives for " + key)
                            .isEqualTo(PathKey.parse(answer.get("X-Uri")).path());
                }
            }
        }
        assertThat(forwarded).isGreaterThan(KEYS / 4);
    }

    private static Map<String, String> headers(BufferedReader in) throws IOException {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("status", in.readLine());
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            all.put(line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 2));
        }
        return all;
    }
}
