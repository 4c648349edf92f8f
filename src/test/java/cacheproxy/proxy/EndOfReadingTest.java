package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that every command that the proxy has read when it stops reading from a connection gets its answer, also those
 * behind the requests in flight.
 */
@Timeout(20)
class EndOfReadingTest {
    /** The number of requests that a connection may have in flight; commands behind them wait undecoded. */
    private static final int MAX_IN_FLIGHT = 32;

    /** So few that the proxy reads them in one go with those in flight: what it has not read is the client's. */
    private static final int BEHIND = 8;

    private static final int COMMANDS = MAX_IN_FLIGHT + BEHIND;
    private static final int PAGE_BYTES = 64 << 10;
    /** What the first read takes at least behind the requests in flight. */
    private static final int MIN_READ_BYTES = 512;

    /** Classes with short deadlines, so that the shutdown stops reading a second after its start. */
    private static Fleet fleetWithShortDeadlines() throws Exception {
        ScriptedServer node = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        ScriptedServer origin = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        return new Fleet()
                .set("classes.0.deadline", "500.0")
                .set("classes.1.deadline", "500.0")
                .set("classes.2.deadline", "500.0")
                .node(node)
                .origin(origin);
    }

    private static String reads(String prefix, int count) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append(Fleet.readCommand(prefix + i));
        }
        return commands.toString();
    }

    private static Thread shutDown(Fleet fleet) {
        Thread drain = new Thread(fleet.proxy::drain);
        drain.start();
        return drain;
    }

    private static List<String> linesUntilEnd(Fleet.Client client) throws Exception {
        List<String> lines = new ArrayList<>();
        for (String line; (line = client.line()) != null; ) {
            lines.add(line);
        }
        return lines;
    }

    /** Guards against commands that are read behind the requests in flight and dropped at a planned restart. */
    @Test
    void answersReadsBehindRequestsInFlightAtShutdown() throws Exception {
        try (Fleet fleet = fleetWithShortDeadlines().start();
                Fleet.Client client = fleet.client()) {
            client.send(reads("r", COMMANDS));
            fleet.awaitPendingRequests(MAX_IN_FLIGHT);
            Thread drain = shutDown(fleet);
            assertThat(linesUntilEnd(client)).hasSize(COMMANDS).containsOnly("SERVER_ERROR busy");
            client.close();
            drain.join();
        }
    }

    /** Guards against the same for writes, which are refused without having been sent. */
    @Test
    void refusesWritesBehindRequestsInFlightAtShutdown() throws Exception {
        try (Fleet fleet = fleetWithShortDeadlines().start();
                Fleet.Client client = fleet.client()) {
            StringBuilder writes = new StringBuilder();
            for (int i = 0; i < BEHIND; i++) {
                writes.append("ms 7f3a 5 Ow" + i + " Pc=publish,d=20000,k=k" + i + "\r\nhello\r\n");
            }
            client.send(reads("r", MAX_IN_FLIGHT) + writes);
            fleet.awaitPendingRequests(MAX_IN_FLIGHT);
            Thread drain = shutDown(fleet);
            assertThat(linesUntilEnd(client)).hasSize(COMMANDS).containsOnly("SERVER_ERROR busy");
            client.close();
            drain.join();
        }
    }

    /** Guards against a page of commands at that moment that is dropped, or that delays another client's answers. */
    @ParameterizedTest
    @ValueSource(strings = {"mn\r\n", "mx\r\n", "\r\n", "ms 7f3a 1 Ow Pc=fix,d=20000\r\nx\r\n"})
    void answersPageOfCommandsBehindRequestsInFlightAtShutdown(String command) throws Exception {
        int count = PAGE_BYTES / command.length() / 2;
        try (Fleet fleet = fleetWithShortDeadlines().start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.send(reads("r", MAX_IN_FLIGHT) + command.repeat(count));
            fleet.awaitPendingRequests(MAX_IN_FLIGHT);
            other.read("other");
            fleet.awaitPendingRequests(MAX_IN_FLIGHT + 1);
            Thread drain = shutDown(fleet);
            assertThat(linesUntilEnd(other)).containsExactly("SERVER_ERROR busy");
            other.close();
            List<String> answers = linesUntilEnd(client);
            assertThat(answers.subList(0, MAX_IN_FLIGHT)).containsOnly("SERVER_ERROR busy");
            // What the system held was not read, so it is the client's to send again.
            assertThat(answers.size())
                    .isBetween(MAX_IN_FLIGHT + MIN_READ_BYTES / command.length(), MAX_IN_FLIGHT + count);
            client.close();
            drain.join();
        }
    }

    /** Half a command is no request; the ones before it are answered. */
    @ParameterizedTest
    @ValueSource(strings = {"mg 7f3a v", "ms 7f3a 5 Ow Pc=fix,d=20000\r\nhel"})
    void endsConnectionWithHalfACommandAfterTheCommandsBeforeIt(String half) throws Exception {
        try (Fleet fleet = fleetWithShortDeadlines().start();
                Fleet.Client client = fleet.client()) {
            client.send(reads("r", COMMANDS) + "mn\r\n" + half);
            fleet.awaitPendingRequests(MAX_IN_FLIGHT);
            Thread drain = shutDown(fleet);
            List<String> answers = linesUntilEnd(client);
            assertThat(answers).hasSize(COMMANDS + 1).endsWith("MN");
            assertThat(answers.subList(0, COMMANDS)).containsOnly("SERVER_ERROR busy");
            client.close();
            drain.join();
        }
    }

    /** A client that reads nothing delays neither the shutdown nor the others. */
    @Test
    void shutsDownInTimeBesideClientThatReadsNothing() throws Exception {
        try (Fleet fleet = fleetWithShortDeadlines().start();
                Fleet.Client silent = fleet.slowClient();
                Fleet.Client other = fleet.client()) {
            silent.send(reads("s", MAX_IN_FLIGHT) + "mn\r\n".repeat(PAGE_BYTES / 8));
            fleet.awaitPendingRequests(MAX_IN_FLIGHT);
            other.send(reads("r", COMMANDS));
            fleet.awaitPendingRequests(2 * MAX_IN_FLIGHT);
            Thread drain = shutDown(fleet);
            assertThat(linesUntilEnd(other)).hasSize(COMMANDS).containsOnly("SERVER_ERROR busy");
            other.close();
            drain.join();
        }
    }

    /** Guards against a client that is answered by rejections for as long as it sends, and is never ended. */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void endsConnectionOfClientThatNeverStopsSending() throws Exception {
        try (Fleet fleet = fleetWithShortDeadlines().start();
                Fleet.Client client = fleet.client()) {
            client.send(reads("r", 1));
            fleet.awaitPendingRequests(1);
            Thread flood = new Thread(() -> {
                try {
                    while (true) {
                        client.send("mn\r\n".repeat(MAX_IN_FLIGHT));
                    }
                } catch (IOException e) {
                    // the proxy has closed the connection
                }
            });
            flood.start();
            Thread drain = shutDown(fleet);
            assertThat(client.line()).isEqualTo("SERVER_ERROR busy");
            assertThat(client.line()).isEqualTo("MN");
            while (client.line() != null) {
                Thread.onSpinWait(); // the answers to what it sends until the end
            }
            flood.join();
            drain.join();
        }
    }
}
