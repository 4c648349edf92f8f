package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.ScriptedServer;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a long value that breaks off takes no other response along at the daemon's listeners and pools. */
@Timeout(60)
class BrokenValueTest {
    private static final int LENGTH = 1_000_000;
    private static final String SHORT_DEADLINES =
            DaemonHarness.CLASSES.replace("20000", "3000").replace("10000", "1500");

    /** A hook that leaves these requests as they are. */
    private static final String HOOK = "[[hook]]\nname = \"h\"\nmodule = \""
            + Path.of("hooks/class-by-suffix.wasm").toAbsolutePath() + "\"\n";

    private final CountDownLatch written = new CountDownLatch(1);

    /** A server that sends the first half of values, and then resets after a write elsewhere, or stays silent. */
    private ScriptedServer breakingServer(boolean resets) throws Exception {
        return new ScriptedServer(connection -> {
            String id = ScriptedServer.requestId(connection.readCommand());
            connection.send("VA " + LENGTH + " O" + id + "\r\n");
            connection.out.write(new byte[LENGTH / 2]);
            connection.out.flush();
            if (resets) {
                written.await();
                connection.reset();
            } else {
                connection.awaitEnd();
            }
        });
    }

    private ScriptedServer writableServer() throws Exception {
        return new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                connection.readLine();
                connection.send("HD O" + ScriptedServer.requestId(line) + "\r\n");
                written.countDown();
            }
        });
    }

    private static String pool(String name, ScriptedServer server) {
        return "[[pool]]\nname = \"" + name + "\"\nnodes = \"plain\"\n[[pool.server]]\nname = \"" + name
                + "\"\ndial = \"" + server.dial() + "\"\n";
    }

    private static DaemonHarness start(String hooks, ScriptedServer breaking, ScriptedServer writable)
            throws Exception {
        return new DaemonHarness(
                new FakeFleet(1),
                "[site]\nwarm_up_ms = 20000\nfall_ms = 300\n"
                        + DaemonHarness.LIMITS
                        + SHORT_DEADLINES
                        + DaemonHarness.MAIN_LISTENER
                        + hooks
                        + pool("a", breaking)
                        + pool("b", writable)
                        + DaemonHarness.route("long", "prefix = \"long\"", "a")
                        + DaemonHarness.route("others", "", "b"));
    }

    /** Guards against a write of the standard protocol that gets no answer behind a value that breaks off or stops. */
    @ParameterizedTest
    @CsvSource({"true, false", "false, false", "true, true", "false, true"})
    void answersWriteBehindValueThatBreaksOff(boolean resets, boolean hooked) throws Exception {
        try (ScriptedServer breaking = breakingServer(resets);
                ScriptedServer writable = writableServer();
                DaemonHarness harness = start(hooked ? HOOK : "", breaking, writable);
                DaemonHarness.ManualClient client = harness.connect()) {
            client.send("mg long v\r\nms k 5\r\nhello\r\nmn\r\n");
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(client.line()).isEqualTo("HD");
            assertThat(client.line()).isEqualTo("MN");
        }
    }

    /** Guards against the same on the listener's other grammar, in which requests have ids. */
    @Test
    void answersWriteWithIdBehindValueThatBreaksOff() throws Exception {
        try (ScriptedServer breaking = breakingServer(true);
                ScriptedServer writable = writableServer();
                DaemonHarness harness = start("", breaking, writable);
                DaemonHarness.ManualClient client = harness.connect()) {
            client.send("mg long v Oread Pc=page\r\nms k 5 Owrite Pc=submit\r\nhello\r\n");
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(client.line()).isEqualTo("HD Owrite");
        }
    }
}
