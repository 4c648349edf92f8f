package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a request is not out in two pools at once where the file allows no second copies. */
@Timeout(30)
class SingleAttemptPoolsTest {
    private static final String CLASSES = """
            [limits]
            second_copies = false
            [[class]]
            name = "page"
            effect = "safe"
            aim_ms = 600
            deadline_ms = 600
            [[class]]
            name = "submit"
            effect = "unsafe"
            aim_ms = 9000
            deadline_ms = 9000
            """;

    private static String pool(String name, ScriptedServer server) {
        return "[[pool]]\nname = \"" + name + "\"\nconnections = 1\n[[pool.server]]\nname = \"" + name
                + "1\"\ndial = \"" + server.dial() + "\"\n";
    }

    /**
     * Guards against a read that goes to the next pool while it is out in the one before, on a connection that an
     * unsafe write keeps open; and against a read that waits for that and is never concluded.
     */
    @Test
    void triesNoFurtherPoolWhileAnAttemptIsOut() throws Exception {
        try (ScriptedServer silent = new ScriptedServer(connection -> {
                    while (connection.readCommand() != null) {
                        // never answers
                    }
                });
                ScriptedServer second =
                        ScriptedServer.node(line -> "VA 1 O" + ScriptedServer.requestId(line) + "\r\nx\r\n")) {
            String file = CLASSES
                    + DaemonHarness.MAIN_LISTENER
                    + pool("a", silent)
                    + pool("b", second)
                    + DaemonHarness.route("all", "", "a", "b");
            try (Daemon daemon = Daemon.start(DaemonConfigReader.parse("f", file), 7);
                    DaemonHarness.ManualClient writer = new DaemonHarness.ManualClient(daemon.address("main"));
                    DaemonHarness.ManualClient reader = new DaemonHarness.ManualClient(daemon.address("main"))) {
                writer.send("ms page/1 1 Ow\r\nx\r\n");
                silent.awaitCommand();
                reader.send("mg page/1 v Or\r\n");
                assertThat(reader.line()).startsWith("SERVER_ERROR busy");
                assertThat(second.commands).isEmpty();
                reader.send("mn\r\n");
                assertThat(reader.line()).isEqualTo("MN");
                assertThat(daemon.pendingRequests()).as("the write alone").isEqualTo(1);
            }
        }
    }
}
