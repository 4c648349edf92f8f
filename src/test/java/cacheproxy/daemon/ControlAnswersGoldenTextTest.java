package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The complete responses of the daemon's control address, with varying values masked. */
@Timeout(60)
class ControlAnswersGoldenTextTest {
    private static final long AWAIT_S = 20;
    private static final String CONTROL = "[control]\nlisten = \"127.0.0.1:0\"\n";
    private static final String DUTY = "[[duty]]\nname = \"cron\"\nlease_ms = 150\nvoters = 1\n";

    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is on a line of its own
    private static final String LIMITS = "[fleet.limits]\ngrant_ms = 200\nlease_ms = 150\nvoters = 1\nshares = 1\n"
            + "[[fleet.limit]]\nname = \"rate\"\npool = \"pages\"\nper_second = 500\nburst = 50\n"
            + "[[fleet.limit]]\nname = \"hand\"\nclass = \"page\"\nat_once = 200\nwhen_alone = \"none\"\n"
            + "[[fleet.limit]]\nname = \"all\"\nper_second = 1000.5\n";

    private static final String[] VARYING = {"mine", "own", "lent", "used", "waiting", "alone_since_ms"};

    @TempDir
    private Path folder;

    private FakeFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FakeFleet(1);
    }

    @AfterEach
    void end() {
        fleet.close();
    }

    private Daemon daemon(String sections) throws Exception {
        String file = DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.pool("pages", fleet, "", fleet.nodes.get(0))
                + DaemonHarness.route("all", "", "pages")
                + CONTROL
                + sections;
        return Daemon.start(DaemonConfigReader.parse(folder.resolve("f.toml").toString(), file), 5);
    }

    private static String fleetOf(String proxyName, int[] ports) {
        StringBuilder text = new StringBuilder("[fleet]\nme = \"" + proxyName + "\"\nlisten = \"127.0.0.1:"
                + ports[Integer.parseInt(proxyName.substring(1)) - 1] + "\"\nlongest_lease_ms = 150\n");
        for (int i = 0; i < ports.length; i++) {
            text.append("[[fleet.peer]]\nname = \"p")
                    .append(i + 1)
                    .append("\"\naddress = \"127.0.0.1:")
                    .append(ports[i])
                    .append("\"\n");
        }
        return text.toString();
    }

    /** Returns the whole response to a request, with line feeds as line ends. */
    private static String call(Daemon daemon, String call) throws IOException {
        InetSocketAddress to = daemon.controlAddress();
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream()
                    .write((call + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).replace("\r\n", "\n");
        }
    }

    private static String body(Daemon daemon, String call) throws IOException {
        String answer = call(daemon, call);
        return answer.substring(answer.indexOf("\n\n") + 2);
    }

    /** Repeats a request until the body of its response matches, and returns the body. */
    private static String awaitBody(Daemon daemon, String call, String pattern) throws IOException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_S);
        String body = body(daemon, call);
        while (!body.matches("(?s)" + pattern)) {
            assertThat(System.nanoTime())
                    .as("response to %s is still %s", call, body)
                    .isLessThan(untilNanos);
            body = body(daemon, call);
        }
        return body;
    }

    private static String plain(String status, String body) {
        return "HTTP/1.1 " + status + "\ncontent-type: text/plain\ncontent-length: " + (body.length() + 1)
                + "\nconnection: close\n\n" + body + "\n";
    }

    /** Replaces these fields' values: D stands for a number with decimals, N for one without, B for true or false. */
    private static String masked(String json, String... fields) {
        String name = "\"(" + String.join("|", fields) + ")\":";
        return json.replaceAll(name + "-?\\d+\\.\\d+(?:E-?\\d+)?", "\"$1\":D")
                .replaceAll(name + "-?\\d+", "\"$1\":N")
                .replaceAll(name + "(?:true|false)", "\"$1\":B");
    }

    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is on a line of its own
    @Test
    void withoutFleetOnlyProcessEndpointsAreServed() throws Exception {
        try (Daemon daemon = daemon("")) {
            assertThat(call(daemon, "GET /status")).isEqualTo(plain("200 OK", "active"));
            assertThat(call(daemon, "GET /invariants")).isEqualTo(plain("200 OK", "violations=0 stopped=0"));
            assertThat(call(daemon, "POST /status"))
                    .isEqualTo("HTTP/1.1 405 Method Not Allowed\ncontent-type: text/plain\n"
                            + "content-length: 16\nconnection: close\nallow: GET\n\nuse GET /status\n");
            assertThat(call(daemon, "GET /fleet"))
                    .isEqualTo(
                            plain(
                                    "404 Not Found",
                                    "the calls are GET /status, GET /invariants,"
                                            + " GET /memory, GET /load, GET /slow-start, POST /events/on, POST /events/off and POST /reload"));
        }
    }

    @Test
    void dutiesReportHolderAndEpoch() throws Exception {
        int[] ports = {Ports.free()};
        try (Daemon daemon = daemon(fleetOf("p1", ports) + DUTY)) {
            assertThat(awaitBody(daemon, "GET /duties/cron", "\\d+\n")).matches("\\d+\n");
            assertThat(masked(body(daemon, "GET /duties"), "epoch", "left_ms"))
                    .isEqualTo("[{\"duty\":\"cron\",\"holding\":true,\"epoch\":N,\"left_ms\":N,\"holder\":\"p1\"}]\n");
            assertThat(call(daemon, "GET /duties")).startsWith("HTTP/1.1 200 OK\ncontent-type: application/json\n");
            assertThat(call(daemon, "GET /duties/other")).isEqualTo(plain("404 Not Found", "there is no such duty"));
            assertThat(body(daemon, "POST /duties")).isEqualTo("use GET /duties\n");
            assertThat(body(daemon, "GET /duties/cron/transfer")).isEqualTo("use POST /duties/cron/transfer\n");
            assertThat(call(daemon, "POST /duties/cron/transfer?to=p9"))
                    .isEqualTo(plain("400 Bad Request", "say to=PEER, the name of another proxy"));
            assertThat(body(daemon, "GET /duties/cron/x"))
                    .isEqualTo("the calls are GET /duties, GET /duties/NAME and POST /duties/NAME/transfer?to=PEER\n");
            assertThat(body(daemon, "GET /limits")).isEqualTo("[]\n");
            assertThat(body(daemon, "POST /limits")).isEqualTo("use GET /limits\n");
            assertThat(body(daemon, "POST /fleet")).isEqualTo("use GET /fleet\n");
            assertThat(body(daemon, "GET /fleet"))
                    .isEqualTo("{\"me\":\"p1\",\"peers\":[{\"name\":\"p1\"}],\"watches\":{},\"lists\":{}}\n");
            assertThat(body(daemon, "GET /other"))
                    .isEqualTo(
                            "the calls are GET /status, GET /duties, GET /limits, GET /fleet,"
                                    + " GET /invariants, GET /memory, GET /load, GET /slow-start, POST /events/on, POST /events/off and POST /reload\n");
        }
    }

    @Test
    void limitsReportScopeAndUsage() throws Exception {
        int[] ports = {Ports.free()};
        try (Daemon daemon = daemon(fleetOf("p1", ports) + LIMITS)) {
            assertThat(masked(body(daemon, "GET /limits"), VARYING))
                    .isEqualTo("["
                            + limit("rate", "pool pages", "per_second", "500.0", "", "56.0", "1.0")
                            + "," + limit("hand", "class page", "at_once", "200.0", "", "0.0", "0.0")
                            + "," + limit("all", "all", "per_second", "1000.5", "", "111.06", "1.0") + "]\n");
        }
    }

    private static String limit(
            String name, String scope, String kind, String amount, String alone, String over, String idle) {
        return "{\"name\":\"" + name + "\",\"scope\":\"" + scope + "\",\"kind\":\"" + kind + "\",\"limit\":" + amount
                + ",\"mine\":D,\"own\":D,\"lent\":D,\"used\":N,\"waiting\":N" + alone + ",\"over_bound\":" + over
                + ",\"idle_bound_one_gone\":" + idle + "}";
    }

    @Test
    void fleetReportsPeersAndStateOfItsProtocols() throws Exception {
        int[] ports = {Ports.free(), Ports.free()};
        ScriptedServer discovery = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        String more = LIMITS + "[fleet.probe]\nlease_ms = 150\n[fleet.watch]\nlease_ms = 150\n"
                + "[[pool]]\nname = \"followed\"\n[pool.discovery]\naddress = \"" + discovery.dial()
                + "\"\nzones = [\"here\"]\nkinds = [\"node\"]\n";
        try (discovery;
                Daemon one = daemon(fleetOf("p1", ports) + more);
                Daemon two = daemon(fleetOf("p2", ports) + more)) {
            assertThat(two.controlAddress().getPort()).isPositive();
            String body =
                    awaitBody(one, "GET /fleet", ".*\"heard_ms_ago\".*(\"standing\":\"alive\".*){2}\"p2\":\"same\".*");
            assertThat(masked(body, "heard_ms_ago", "closely", "doubts_itself"))
                    .isEqualTo("{\"me\":\"p1\",\"peers\":["
                            + "{\"name\":\"p2\",\"heard_ms_ago\":N,\"standing\":\"alive\"},{\"name\":\"p1\",\"standing\":\"alive\"}],"
                            + "\"trials\":{\"own\":0,\"for_others\":0,\"by_word\":0,\"word_too_late\":0,\"word_of_older_epochs\":0},"
                            + "\"watches\":{\"followed\":{\"closely\":B,\"version\":0}},\"lists\":{\"p2\":\"same\"},"
                            + "\"doubts_itself\":N,\"limits\":3,\"grants_of_older_epochs\":0}\n");
        }
    }
}
