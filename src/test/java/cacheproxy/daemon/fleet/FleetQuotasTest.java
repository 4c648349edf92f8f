package cacheproxy.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.cli.Cli;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.config.FleetConfig;
import cacheproxy.config.QuotasConfig;
import cacheproxy.daemon.Daemon;
import cacheproxy.daemon.DaemonHarness;
import cacheproxy.daemon.Ports;
import cacheproxy.fakes.FakeFleet;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Quotas of a fleet in the daemon: their configuration, their effect on requests, and their state at the control
 * address.
 */
@Timeout(60)
class FleetQuotasTest {
    private FakeFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FakeFleet(1);
    }

    @AfterEach
    void end() {
        fleet.close();
    }

    private String file(int port, String limits) {
        return DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.pool("pages", fleet, "", fleet.nodes.get(0))
                + DaemonHarness.route("all", "", "pages")
                + "[control]\nlisten = \"127.0.0.1:0\"\n[fleet]\nme = \"p1\"\nlisten = \"127.0.0.1:" + port
                + "\"\nlongest_lease_ms = 150\n"
                + "[[fleet.peer]]\nname = \"p1\"\naddress = \"127.0.0.1:" + port + "\"\n" + limits;
    }

    private static JsonArray limits(Daemon daemon) throws IOException {
        InetSocketAddress to = daemon.controlAddress();
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream()
                    .write("GET /limits HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return JsonParser.parseString(text.substring(text.indexOf("\r\n\r\n") + 4))
                    .getAsJsonArray();
        }
    }

    private static JsonObject limit(Daemon daemon, String name) throws IOException {
        for (var element : limits(daemon)) {
            if (element.getAsJsonObject().get("name").getAsString().equals(name)) {
                return element.getAsJsonObject();
            }
        }
        throw new AssertionError("no limit " + name);
    }

    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is on a line of its own
    @Test
    void rejectsRequestsBeyondQuotaWithRetryTimeAndServesOthers() throws Exception {
        int port = Ports.free();
        String limits =
                "[fleet.limits]\ngrant_ms = 100\nlease_ms = 100\n[[fleet.limit]]\nname = \"slow\"\nclass = \"page\"\nper_second = 0.5\nburst = 0\n"
                        + "[[fleet.limit]]\nname = \"hand\"\nclass = \"publish\"\nat_once = 2\nwhen_alone = \"none\"\n"
                        + "[[fleet.limit]]\nname = \"pool\"\npool = \"pages\"\nper_second = 100000\n";
        try (Daemon daemon = Daemon.start(DaemonConfigReader.parse("f.toml", file(port, limits)), 5);
                Socket socket = new Socket()) {
            socket.connect(daemon.address("main"));
            socket.setSoTimeout(20_000);
            int served = 0;
            int rejected = 0;
            // The bucket holds one token, gets one every two seconds, and is empty at the start: at some time one
            // request is admitted, but never two in a row.
            while (served == 0 || rejected == 0) {
                socket.getOutputStream().write("mg a v Oq1 Pc=page,d=1000\r\n".getBytes(StandardCharsets.US_ASCII));
                String line = line(socket);
                if (line.startsWith("VA ")) {
                    line(socket);
                    served++;
                } else if (line.startsWith("EN") || line.startsWith("HD")) {
                    served++;
                } else {
                    assertThat(line).startsWith("SERVER_ERROR busy").containsPattern("[0-9]");
                    rejected++;
                }
            }
            JsonObject slow = limit(daemon, "slow");
            assertThat(slow.get("scope").getAsString()).isEqualTo("class page");
            assertThat(slow.get("limit").getAsDouble()).isEqualTo(0.5);
            assertThat(slow.get("mine").getAsDouble()).isLessThanOrEqualTo(0.5);
            assertThat(slow.get("over_bound").getAsDouble()).isGreaterThanOrEqualTo(1);
            assertThat(limit(daemon, "hand").get("kind").getAsString()).isEqualTo("at_once");
            assertThat(limit(daemon, "pool").get("scope").getAsString()).isEqualTo("pool pages");
            String control = "127.0.0.1:" + daemon.controlAddress().getPort();
            assertThat(Cli.run(new String[] {"limits", "--control", control})).isZero();
            assertThat(Cli.run(new String[] {"limits", "--json", "--control", control}))
                    .isZero();
            assertThat(Cli.run(new String[] {"limits", "--control", "127.0.0.1:1"}))
                    .isEqualTo(2);

            // After a reload that raises the quota, more requests are admitted; after one that removes it, it is not
            // listed.
            daemon.load(DaemonConfigReader.parse(
                    "f.toml", file(port, limits.replace("per_second = 0.5", "per_second = 50000"))));
            while (limit(daemon, "slow").get("mine").getAsDouble() < 40_000) {
                Thread.onSpinWait();
            }
            daemon.load(DaemonConfigReader.parse("f.toml", file(port, "")));
            assertThat(limits(daemon)).isEmpty();
            socket.getOutputStream().write("mg a v Oq2 Pc=page,d=1000\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(line(socket)).doesNotContain("busy");
        }
    }

    private static String line(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int character; (character = socket.getInputStream().read()) >= 0 && character != '\n'; ) {
            text.append((char) character);
        }
        return text.toString().strip();
    }

    @Test
    void reportsInvalidQuotasWithPlaceAndRemedy() {
        String[][] invalidQuotas = {
            {"name = \"a\"", "either per_second or at_once"},
            {"name = \"a\"\nper_second = 5\nat_once = 5", "either per_second or at_once"},
            {"name = \"a\"\nat_once = 5\nburst = 2", "burst goes with per_second"},
            {"name = \"a\"\nper_second = 5\npool = \"none\"", "there is no pool 'none'; there are: pages"},
            {"name = \"a\"\nper_second = 5\nclass = \"none\"", "there is no class 'none'"},
            {"name = \"a\"\nper_second = 5\ntenant = \"none\"", "there is no tenant 'none'"},
            {"name = \"a\"\nper_second = 5\nwhen_alone = \"maybe\"", "when_alone"},
            {"name = \"a\"\nper_second = 5\nwhen_alone = \"none\"\nshare_part = 0.5", "own no share"},
            {"name = \"a b\"\nper_second = 5", "limit name 'a b'"}
        };
        for (String[] invalid : invalidQuotas) {
            assertThatThrownBy(
                            () -> DaemonConfigReader.parse("f.toml", file(7, "[[fleet.limit]]\n" + invalid[0] + "\n")))
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining(invalid[1])
                    .hasMessageContaining("f.toml:");
        }
        assertThatThrownBy(() -> DaemonConfigReader.parse("f.toml", file(7, "[[duty]]\nname = \"limits.0\"\n")))
                .hasMessageContaining("the program's own");
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 1001; i++) {
            many.append("[[fleet.limit]]\nname = \"l").append(i).append("\"\nper_second = 5\n");
        }
        assertThatThrownBy(() -> DaemonConfigReader.parse("f.toml", file(7, many.toString())))
                .hasMessageContaining("at most 1000");
    }

    @Test
    void acceptsAThousandQuotas() throws Exception {
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            many.append("[[fleet.limit]]\nname = \"l").append(i).append("\"\nper_second = 5\n");
        }
        QuotasConfig read = DaemonConfigReader.parse("f.toml", file(7, many.toString()))
                .section(FleetConfig.class)
                .quotas();
        assertThat(read.quotas()).hasSize(1000);
        assertThat(read.leaseNames()).hasSize(4);
    }
}
