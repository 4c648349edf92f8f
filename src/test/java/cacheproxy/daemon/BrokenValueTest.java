package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a long value that breaks off takes no other response along at the daemon's listeners and pools. */
@Timeout(60)
class BrokenValueTest {
    private static final int LENGTH = 1_000_000;
    private static final String SHORT_DEADLINES =
            DaemonHarness.CLASSES.replace("20000", "1000").replace("10000", "500");

    /** A server that sends the first half of values whose key begins with "long", and then resets or stays silent. */
    private static ScriptedServer breakingServer(boolean resets) throws Exception {
        return new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                String id = ScriptedServer.requestId(line);
                if (line.startsWith("ms ")) {
                    connection.readLine();
                    connection.send("HD O" + id + "\r\n");
                    continue;
                }
                if (!line.startsWith("mg long")) {
                    connection.send("VA 5 O" + id + "\r\nhello\r\n");
                    continue;
                }
                connection.send("VA " + LENGTH + " O" + id + "\r\n");
                connection.out.write(new byte[LENGTH / 2]);
                connection.out.flush();
                if (resets) {
                    connection.reset();
                } else {
                    connection.awaitEnd();
                }
                return;
            }
        });
    }

    private static String pool(String name, ScriptedServer server) {
        return "[[pool]]\nname = \"" + name + "\"\nnodes = \"plain\"\n[[pool.server]]\nname = \"" + name
                + "\"\ndial = \"" + server.dial() + "\"\n";
    }

    private static DaemonHarness start(ScriptedServer server) throws Exception {
        return new DaemonHarness(
                new FakeFleet(1),
                "[site]\nwarm_up_ms = 20000\nfall_ms = 300\n"
                        + DaemonHarness.LIMITS
                        + SHORT_DEADLINES
                        + DaemonHarness.MAIN_LISTENER
                        + pool("a", server)
                        + DaemonHarness.route("all", "", "a"));
    }

    /** Guards against commands of the standard protocol that get no answer behind a value that breaks off or stops. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answersStandardCommandsBehindValueThatBreaksOff(boolean resets) throws Exception {
        try (ScriptedServer server = breakingServer(resets);
                DaemonHarness harness = start(server);
                DaemonHarness.ManualClient client = harness.connect()) {
            client.send("mg long v\r\nmn\r\n");
            assertThat(client.lines(1).get(0)).startsWith("SERVER_ERROR");
            assertThat(client.lines(1)).containsExactly("MN");
            assertThat(client.send("mg k v\r\n").lines(2)).containsExactly("VA 5", "hello");
        }
    }

    /** Guards against an unsafe write that is not answered because a value before it breaks off. */
    @Test
    void answersWriteBehindValueThatBreaksOff() throws Exception {
        try (ScriptedServer server = breakingServer(true);
                DaemonHarness harness = start(server);
                DaemonHarness.ManualClient client = harness.connect()) {
            client.send("mg long v Oread Pc=page,d=1000\r\nms k 5 Owrite Pc=submit,d=1000\r\nhello\r\n");
            assertThat(client.lines(1).get(0)).startsWith("SERVER_ERROR");
            assertThat(client.lines(1)).containsExactly("HD Owrite");
        }
    }
}
