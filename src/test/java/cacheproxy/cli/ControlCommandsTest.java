package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** {@code duties} and {@code limits}: calls of a control address, tables, JSON and exit codes. */
class ControlCommandsTest {
    private static final String LEASES = "[{\"duty\":\"feed\",\"holding\":true,\"epoch\":7,\"left_ms\":120,"
            + "\"holder\":\"p1\"},{\"duty\":\"sweep\",\"holding\":false,\"epoch\":0,\"left_ms\":0}]";
    private static final String QUOTAS = "[{\"name\":\"api\",\"scope\":\"pool a\",\"limit\":10,\"mine\":2.5,"
            + "\"used\":1,\"waiting\":3,\"alone_since_ms\":12,\"over_bound\":1.5},"
            + "{\"name\":\"all\",\"scope\":\"all\",\"limit\":8,\"mine\":4,\"used\":0,\"waiting\":0,\"over_bound\":0}]";

    @Test
    void listsLeasesAsTable() throws Exception {
        try (FakeControlServer server = FakeControlServer.responding(200, LEASES)) {
            CommandResult result = CommandResult.run("duties", "--control", server.address());
            assertThat(result.exitCode()).isZero();
            assertThat(result.out().lines())
                    .containsExactly(
                            "duty                     holding               epoch   left ms holder",
                            "feed                     yes                       7       120 p1",
                            "sweep                    no                        0         0 -");
            assertThat(server.requestLines()).containsExactly("GET /duties HTTP/1.1");
        }
    }

    /** Guards against a stack trace for an answer that is shorter than a status line. */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 \r\n\r\n", "HTTP/1.1 2\r\n\r\n"})
    void anAnswerThatIsTooShortIsReportedInALine(String answer) throws Exception {
        try (FakeControlServer server = new FakeControlServer(answer)) {
            CommandResult result = CommandResult.run("duties", "--control", server.address());
            assertThat(result.exitCode()).isNotZero();
            assertThat(result.err().lines()).hasSize(1);
            assertThat(result.err()).contains(server.address()).doesNotContain("\tat ");
        }
    }

    @Test
    void listsQuotasAsTable() throws Exception {
        try (FakeControlServer server = FakeControlServer.responding(200, QUOTAS)) {
            CommandResult result = CommandResult.run("limits", "--control", server.address());
            assertThat(result.exitCode()).isZero();
            assertThat(result.out().lines().map(line -> line.split(" +", 0)))
                    .containsExactly(
                            "limit scope of all mine used waiting alone ms over by".split(" ", 0),
                            "api pool a 10.0 2.5 1 3 12 1.5".split(" ", 0),
                            "all all 8.0 4.0 0 0 - 0.0".split(" ", 0));
            assertThat(server.requestLines()).containsExactly("GET /limits HTTP/1.1");
        }
    }

    @Test
    void printsJsonAsReceived() throws Exception {
        try (FakeControlServer server = FakeControlServer.responding(200, LEASES + "\n")) {
            for (String command : new String[] {"duties", "limits"}) {
                CommandResult result = CommandResult.run(command, "--json", "--control", server.address());
                assertThat(result.exitCode()).isZero();
                assertThat(result.out()).isEqualTo(LEASES + "\n");
            }
        }
    }

    @Test
    void transfersLease() throws Exception {
        try (FakeControlServer server = FakeControlServer.responding(200, "done")) {
            CommandResult result =
                    CommandResult.run("duties", "transfer", "feed", "--to", "p2", "--control", server.address());
            assertThat(result.exitCode()).isZero();
            assertThat(result.out()).isEqualTo("done\n");
            assertThat(server.requestLines()).containsExactly("POST /duties/feed/transfer?to=p2 HTTP/1.1");
            CommandResult invalid =
                    CommandResult.run("duties", "transfer", "a b", "--to", "p2", "--control", server.address());
            assertThat(invalid.exitCode()).isEqualTo(2);
            assertThat(invalid.err()).isEqualTo("names consist of letters, digits, dots, dashes and underscores\n");
            assertThat(server.requestLines()).hasSize(1);
        }
    }

    @Test
    void returnsOneWhereTheProxyRejectsTheCall() throws Exception {
        try (FakeControlServer server = FakeControlServer.responding(409, "not held")) {
            for (String[] args : new String[][] {
                {"duties", "--control", server.address()},
                {"limits", "--control", server.address()},
                {"duties", "transfer", "feed", "--to", "p2", "--control", server.address()}
            }) {
                CommandResult result = CommandResult.run(args);
                assertThat(result.exitCode()).as(args[0]).isEqualTo(1);
                assertThat(result.out()).isEmpty();
                assertThat(result.err()).isEqualTo(server.address() + ": not held\n");
            }
        }
    }

    @Test
    void returnsTwoWithoutValidResponse() throws Exception {
        try (FakeControlServer server = new FakeControlServer("busy\r\n\r\n")) {
            CommandResult result = CommandResult.run("limits", "--control", server.address());
            assertThat(result.exitCode()).isEqualTo(2);
            assertThat(result.err()).isEqualTo(server.address() + ": no valid HTTP response\n");
        }
        CommandResult invalid = CommandResult.run("duties", "--control", "nowhere");
        assertThat(invalid.exitCode()).isEqualTo(2);
        assertThat(invalid.err()).startsWith("nowhere: ");
        assertThat(CommandResult.run("duties").exitCode()).isEqualTo(2);
    }
}
