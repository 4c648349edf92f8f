package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import com.google.gson.JsonArray;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the lines in a proxy's event log: each event with its fields, their order and their texts. Varying values are
 * replaced by placeholders.
 */
@Timeout(60)
class EventLinesGoldenTextTest {
    private static final long LINE_TIMEOUT_S = 20;

    private final PrintStream originalErr = System.err;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final CountDownLatch releaseAnswer = new CountDownLatch(1);

    @TempDir
    private Path folder;

    @BeforeEach
    void capture() {
        System.setErr(new PrintStream(new LineQueue(), true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void restore() {
        releaseAnswer.countDown();
        System.setErr(originalErr);
    }

    private final class LineQueue extends OutputStream {
        private final StringBuilder line = new StringBuilder();

        @Override
        public synchronized void write(int octet) {
            if (octet == '\n') {
                lines.add(line.toString());
                line.setLength(0);
            } else {
                line.append((char) octet);
            }
        }
    }

    /** The next line of this event, with varying values replaced. */
    private String next(String event) throws InterruptedException {
        while (true) {
            String line = lines.poll(LINE_TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(line).as("a line for " + event).isNotNull();
            if (line.startsWith(event + " ")) {
                return masked(line);
            }
        }
    }

    private static String masked(String line) {
        return line.replaceAll(" t=\\d+\\.\\d{3}\\b", " t=TIME")
                .replaceAll("127\\.0\\.0\\.1:\\d+", "ADDRESS")
                .replaceAll("\\b((?:\\w+_)?ms)=-?\\d+(?:\\.\\d+)?(?:E\\d+)?(?= |$)", "$1=MS");
    }

    private ScriptedServer node() throws Exception {
        return new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                if (ScriptedServer.requestId(line).equals("held")) {
                    releaseAnswer.await();
                }
                connection.send("VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
                if (ScriptedServer.requestId(line).equals("last")) {
                    return;
                }
            }
        });
    }

    @Test
    void aServedRequestAndItsConnections() throws Exception {
        Fleet setup = new Fleet();
        setup.config.addProperty("event_log", true);
        try (Fleet fleet = setup.node(node()).start()) {
            assertThat(next("server_listed"))
                    .isEqualTo("server_listed t=TIME server=1@/ADDRESS state=READY born_ms=MS list=CACHED");
            try (Fleet.Client client = fleet.client()) {
                assertThat(client.read("last").line()).isEqualTo("VA 5 Olast");
                assertThat(next("request_received")).isEqualTo("request_received t=TIME id=last class=text left_ms=MS");
                assertThat(next("server_connected"))
                        .isEqualTo("server_connected t=TIME server=1@/ADDRESS queued=1 cause=ok");
                assertThat(next("attempt_started"))
                        .isEqualTo("attempt_started t=TIME id=last n=0 server=1@/ADDRESS cause=first left_ms=MS"
                                + " client_left_ms=MS queued_ms=MS depth=1");
                assertThat(next("attempt_ended"))
                        .isEqualTo("attempt_ended t=TIME id=last n=0 server=1@/ADDRESS outcome=OK begun=true"
                                + " written=true ms=MS");
                assertThat(next("request_answered"))
                        .isEqualTo("request_answered t=TIME id=last kind=served attempts=1 cause=OK left_ms=MS");
                assertThat(next("server_disconnected"))
                        .isEqualTo("server_disconnected t=TIME server=1@/ADDRESS by=server connected=true"
                                + " retired=false out=0");
            }
            assertThat(next("client_closed"))
                    .isEqualTo("client_closed t=TIME client=/ADDRESS by=client cause=end owed=0 unread=0 dropped=0");
        }
    }

    @Test
    void aRequestWhoseClientLeaves() throws Exception {
        Fleet setup = new Fleet();
        setup.config.addProperty("event_log", true);
        try (Fleet fleet = setup.node(node()).start()) {
            try (Fleet.Client client = fleet.client()) {
                client.read("held");
                next("attempt_started");
            }
            assertThat(next("request_abandoned")).isEqualTo("request_abandoned t=TIME id=held left_ms=MS in_flight=1");
        }
    }

    @Test
    void aServerThatRefusesConnections() throws Exception {
        Fleet setup = new Fleet();
        setup.config.addProperty("event_log", true);
        try (RefusingAddress gone = new RefusingAddress();
                Fleet fleet = setup.node(gone.dial()).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(next("server_connected"))
                    .isEqualTo(
                            "server_connected t=TIME server=1@/ADDRESS queued=1" + " cause=AnnotatedConnectException");
            assertThat(next("attempt_ended"))
                    .isEqualTo("attempt_ended t=TIME id=1 n=0 server=1@/ADDRESS outcome=CONNECT_FAILED begun=false"
                            + " written=false ms=MS");
        }
    }

    /** The newest server of the first list counts as just started; what it may be sent is also told on request. */
    @Test
    void aSlowStart() throws Exception {
        Fleet setup = new Fleet();
        setup.config.addProperty("event_log", true);
        setup.node(node()).set("guarantees.warm-up", "1.0e7");
        setup.hosts.get(0).getAsJsonObject().addProperty("born_ms", 1000);
        ScriptedServer discovery = new ScriptedServer(connection -> {
            connection.readRequest();
            releaseAnswer.await();
            connection.sendHttp(200, "", Fleet.list(43, true, new JsonArray()).toString());
            connection.awaitEnd();
        });
        try (Fleet fleet = setup.discovery(discovery).start()) {
            assertThat(next("slow_start_began"))
                    .isEqualTo("slow_start_began t=TIME server=1@/ADDRESS age_ms=MS budget=1.0");
            assertThat(masked(fleet.proxy.slowStartSummary()))
                    .isEqualTo("warming_up=1 proxies=1 multiple=3.0 window_ms=MS sent=0 withheld=0\n"
                            + "server=1@/ADDRESS age_ms=MS left_ms=MS budget=1.0 used=0.0 sent=0 withheld=0");
            try (Fleet.Client client = fleet.client()) {
                client.read("a").line();
                client.read("b").line();
            }
            releaseAnswer.countDown();
            assertThat(next("slow_start_ended"))
                    .matches("slow_start_ended t=TIME server=1(@/ADDRESS)? age_ms=MS sent=\\d withheld=\\d");
            assertThat(fleet.proxy.slowStartSummary())
                    .startsWith("warming_up=0 proxies=1 multiple=3.0 window_ms=1500 ");
        }
    }

    @Test
    void callsToDiscoveryAndAReload() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        ScriptedServer discovery = new ScriptedServer(connection -> {
            while (connection.readRequest() != null) {
                switch (calls.getAndIncrement()) {
                    case 0 -> connection.sendHttp(503, "", "");
                    case 1 ->
                        connection.sendHttp(
                                200, "", Fleet.list(43, true, new JsonArray()).toString());
                    default -> connection.awaitEnd();
                }
            }
        });
        Fleet setup = new Fleet();
        setup.config.addProperty("event_log", true);
        try (Fleet fleet = setup.discovery(discovery)
                .set("caps.connect-timeout", "50.0")
                .set("guarantees.ask-within", "200.0")
                .start()) {
            assertThat(next("discovery_called"))
                    .isEqualTo("discovery_called t=TIME at=/ADDRESS since=41 wait_ms=MS limit_ms=MS");
            assertThat(next("discovery_failed"))
                    .isEqualTo("discovery_failed t=TIME cause=status_503 failures=1 age_ms=MS next_ms=MS");
            assertThat(next("discovery_answered")).isEqualTo("discovery_answered t=TIME version=43");
            Path config = Files.writeString(folder.resolve("config.json"), fleet.config.toString());
            fleet.proxy.reload(config.toString());
            assertThat(next("state_changed")).isEqualTo("state_changed t=TIME state=reloaded discovery=/ADDRESS");
        }
    }
}
