package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FloodClient;
import cacheproxy.fakes.FloodKind;
import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests on a real process, with the memory of the deploy file, that clients which send at full speed leave others their
 * answers in time.
 */
@Timeout(120)
class FloodingClientsIT {
    private static final int REQUESTS = 1000;
    /** What the requests had left that were answered too late in production. */
    private static final int DEADLINE_MS = 100;
    /** Up to half a second after its deadline an answer is late, but not lost. */
    private static final int GRACE_MS = 500;

    private static final int PERCENT = 99;
    /** How much later than without a flood answers may come: one in a hundred, and the last one. */
    private static final double MAX_PERCENTILE_DELAY_MS = 10;

    private static final double MAX_DELAY_MS = 50;
    private static final double NANOS_PER_MS = 1e6;
    private static final long MAX_RESIDENT_BYTES = 192L << 20;
    private static final int UNREAD_CONNECTIONS = 300;

    @TempDir
    private Path folder;

    private ServeProcess proxy;

    @BeforeEach
    void startProxy() throws IOException {
        proxy = new ServeProcess(folder)
                .javaOption("-Xms24m")
                .javaOption("-Xmx40m")
                .javaOption("-XX:MaxDirectMemorySize=32m")
                .javaOption("-XX:MaxMetaspaceSize=32m")
                .javaOption("-XX:ReservedCodeCacheSize=16m")
                .javaOption("-XX:+ExitOnOutOfMemoryError")
                .node(node())
                .node(node())
                .start();
    }

    @AfterEach
    void stopProxy() throws Exception {
        proxy.close();
    }

    private static ScriptedServer node() throws IOException {
        return new ScriptedServer(connection -> {
            connection.socket.setTcpNoDelay(true);
            for (String line; (line = connection.readCommand()) != null; ) {
                connection.send("VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
            }
        });
    }

    private FloodClient flood(FloodKind kind, int connections, boolean reads) throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port());
        return FloodClient.start(address, kind, connections, reads, 1);
    }

    /**
     * Sends reads one after the other, and returns the times of their answers in milliseconds, shortest first. Fails if
     * an answer is lost.
     */
    private static double[] answerTimes(ServeProcess.Client client, String name) throws IOException {
        double[] times = new double[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            String id = name + i;
            long sent = client.send("mg key" + id + " v O" + id + " Pc=seg-text,d=" + DEADLINE_MS);
            String line = client.line();
            times[i] = (System.nanoTime() - sent) / NANOS_PER_MS;
            assertThat(line).as("answer to %s", id).matches("VA 5 O" + id + "|SERVER_ERROR busy.*");
            if (line.startsWith("VA")) {
                assertThat(client.line()).isEqualTo("hello");
            }
        }
        Arrays.sort(times);
        return times;
    }

    private static double percentile(double[] sorted) {
        return sorted[sorted.length * PERCENT / 100];
    }

    /** Guards against answers that come late, or never, while a few clients send at full speed. */
    @ParameterizedTest
    @CsvSource({
        "EMPTY_LINES, 1",
        "EMPTY_LINES, 3",
        "EMPTY_LINES, 24",
        "UNKNOWN_COMMANDS, 6",
        "UNSUPPORTED_COMMANDS, 24",
        "READS_WITHOUT_KEY, 24",
        "PINGS, 24",
        "REJECTED_READS, 24",
        "BINARY, 24",
        "ENDLESS_LINE, 24",
        "SEGMENTS, 24",
        "RECONNECTS, 24"
    })
    void answersOthersInTime(FloodKind kind, int connections) throws Exception {
        try (ServeProcess.Client usual = proxy.client()) {
            usual.setTimeoutMs(DEADLINE_MS + GRACE_MS);
            answerTimes(usual, "warm");
            double[] calm = answerTimes(usual, "calm");
            try (FloodClient flood = flood(kind, connections, true)) {
                flood.awaitSent();
                double[] flooded = answerTimes(usual, "usual");
                assertThat(percentile(flooded))
                        .as("99%% of the answers; %.1f ms without a flood", percentile(calm))
                        .isLessThan(percentile(calm) + MAX_PERCENTILE_DELAY_MS);
                assertThat(flooded[REQUESTS - 1])
                        .as("the last answer; %.1f ms without a flood", calm[REQUESTS - 1])
                        .isLessThan(calm[REQUESTS - 1] + MAX_DELAY_MS);
            }
        }
    }

    /** Guards against memory that grows with the answers that a flood does not read, or with the names it sends. */
    @Test
    void holdsNoMoreThanItsMemoryForFloodsThatReadNothing() throws Exception {
        try (ServeProcess.Client usual = proxy.client()) {
            usual.setTimeoutMs(DEADLINE_MS + GRACE_MS);
            for (FloodKind kind : new FloodKind[] {FloodKind.UNKNOWN_COMMANDS, FloodKind.REJECTED_READS}) {
                try (FloodClient flood = flood(kind, UNREAD_CONNECTIONS, false)) {
                    flood.awaitSent();
                    answerTimes(usual, kind.name());
                }
            }
        }
        assertThat(proxy.peakResidentBytes()).isLessThan(MAX_RESIDENT_BYTES);
    }

    /** Guards against a client that loses its connection by a line that it sends by mistake. */
    @Test
    void servesAClientOnAfterAnInvalidLine() throws Exception {
        try (ServeProcess.Client client = proxy.client()) {
            client.send("nonsense");
            assertThat(client.line()).isEqualTo("ERROR");
            client.send("mg key v Oafter Pc=seg-text,d=20000");
            assertThat(client.line()).isEqualTo("VA 5 Oafter");
        }
    }
}
