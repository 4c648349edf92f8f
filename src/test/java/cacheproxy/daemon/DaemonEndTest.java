package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.ScriptedServer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that the daemon answers what it has read from busy clients, when it shuts down or loses a listener. */
@Timeout(30)
class DaemonEndTest {
    private static final String SHORT_CLASS = """
            [[class]]
            name = "page"
            effect = "safe"
            aim_ms = 200
            deadline_ms = 400
            [[class]]
            name = "submit"
            effect = "unsafe"
            aim_ms = 200
            deadline_ms = 400
            """;
    /** More than the 32 that a connection may have in flight, and so few that they are read in one go. */
    private static final int COMMANDS = 40;

    private static final int MAX_IN_FLIGHT = 32;

    private static String pool(String name, ScriptedServer server) {
        return "[[pool]]\nname = \"" + name + "\"\nconnections = 1\n[[pool.server]]\nname = \"" + name
                + "1\"\ndial = \"" + server.dial() + "\"\n";
    }

    private static String read(int number) {
        return "mg page/" + number + " v Oa" + number + " Pd=20000\r\n";
    }

    private static void awaitPendingRequests(Daemon daemon, int expected) {
        while (daemon.pendingRequests() != expected) {
            assertThat(Thread.interrupted()).as("time limit").isFalse();
        }
    }

    private static List<String> linesUntilEnd(DaemonHarness.ManualClient client) throws Exception {
        List<String> lines = new ArrayList<>();
        for (String line; (line = client.line()) != null; ) {
            lines.add(line);
        }
        return lines;
    }

    /** Guards against a shutdown that ends with requests that were read, in flight or behind those in flight. */
    @Test
    void answersWhatWasReadBeforeShutdownAndTriesNoFurtherPool() throws Exception {
        try (ScriptedServer silent = new ScriptedServer(connection -> {
                    while (connection.readCommand() != null) {
                        // never answers
                    }
                });
                ScriptedServer second = ScriptedServer.node(line -> "EN\r\n")) {
            String file = SHORT_CLASS
                    + DaemonHarness.MAIN_LISTENER
                    + pool("a", silent)
                    + pool("b", second)
                    + DaemonHarness.route("all", "", "a", "b");
            try (Daemon daemon = Daemon.start(DaemonConfigReader.parse("f", file), 7);
                    DaemonHarness.ManualClient client = new DaemonHarness.ManualClient(daemon.address("main"))) {
                StringBuilder commands = new StringBuilder();
                for (int i = 0; i < COMMANDS; i++) {
                    commands.append(read(i));
                }
                client.send(commands.toString());
                awaitPendingRequests(daemon, MAX_IN_FLIGHT);
                Thread drain = new Thread(daemon::drain);
                drain.start();
                assertThat(linesUntilEnd(client)).hasSize(COMMANDS).containsOnly("SERVER_ERROR busy");
                client.close();
                drain.join();
                assertThat(second.commands).isEmpty();
                assertThat(daemon.pendingRequests()).isZero();
            }
        }
    }

    /** Guards against a listener that is kept, with its configuration, for as long as a client is busy on it. */
    @Test
    void endsBusyClientOfListenerThatIsTakenOutOfTheFile() throws Exception {
        // Answers each command when the next one has come, so that one is always out.
        try (ScriptedServer node = new ScriptedServer(connection -> {
            String before = null;
            for (String line; (line = connection.readCommand()) != null; before = line) {
                if (before != null) {
                    connection.send("VA 5 O" + ScriptedServer.requestId(before) + " h1\r\nhello\r\n");
                }
            }
        })) {
            String pools = "[limits]\nsecond_copies = false\n" + pool("a", node) + DaemonHarness.route("all", "", "a");
            String second = DaemonHarness.listener("second", "127.0.0.1:0");
            try (Daemon daemon = Daemon.start(
                            DaemonConfigReader.parse("f", SHORT_CLASS + DaemonHarness.MAIN_LISTENER + second + pools),
                            7);
                    DaemonHarness.ManualClient client = new DaemonHarness.ManualClient(daemon.address("second"))) {
                client.send(read(0) + read(1));
                daemon.load(DaemonConfigReader.parse("f", SHORT_CLASS + DaemonHarness.MAIN_LISTENER + pools));
                long removedNanos = System.nanoTime();
                int served = 0;
                for (String line; (line = client.line()) != null; ) {
                    assertThat((System.nanoTime() - removedNanos) / 1_000_000L).isLessThan(4000);
                    if (line.startsWith("VA ")) {
                        assertThat(line).isEqualTo("VA 5 Oa" + served);
                        client.line();
                        served++;
                        client.send(read(served + 1));
                    }
                }
                assertThat(served).isPositive();
                awaitPendingRequests(daemon, 0);
            }
        }
    }
}
