package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that slow servers cost neither a value that has begun nor the final answer of a large write. */
@Timeout(60)
class SlowServerTest {
    private static final int DEADLINE_MS = 800;
    private static final double LATEST_ANSWER_MS = DEADLINE_MS + 500;
    private static final int PART_BYTES = 50_000;
    private static final int PARTS = 20;
    private static final long PART_INTERVAL_MS = 150;
    private static final int WRITE_BYTES = 4_000_000;

    private static void await(long ms) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        for (long left; (left = until - System.nanoTime()) > 0; ) {
            LockSupport.parkNanos(left);
        }
    }

    /** Guards against a long value that is cut while its server still writes it, even after the deadline. */
    @Test
    void passesOnALongValueThatTakesLongerThanTheDeadline() throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            String id = ScriptedServer.requestId(connection.readCommand());
            connection.send("VA " + PARTS * PART_BYTES + " O" + id + " h1\r\n");
            for (int i = 0; i < PARTS; i++) {
                connection.out.write(new byte[PART_BYTES]);
                await(PART_INTERVAL_MS);
            }
            connection.send("\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.send("mg 7f3a v Oslow Pc=text,d=" + DEADLINE_MS + "\r\n");
            assertThat(client.line()).isEqualTo("VA " + PARTS * PART_BYTES + " Oslow");
            assertThat(client.bytes(PARTS * PART_BYTES + 2)).hasSize(PARTS * PART_BYTES + 2);
            client.send("mn\r\n");
            assertThat(client.line()).isEqualTo("MN");
        }
    }

    /** Guards against a final answer that comes long after its time, as the server does not read the request. */
    @Test
    void answersALargeWriteInTimeWhoseServerDoesNotReadIt() throws Exception {
        ScriptedServer origin = new ScriptedServer(connection -> await(TimeUnit.SECONDS.toMillis(20)));
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.send("ms 7f3a " + WRITE_BYTES + " Olarge Pc=fix,d=" + DEADLINE_MS + "\r\n")
                    .send(new byte[WRITE_BYTES])
                    .send("\r\n");
            long sent = System.nanoTime();
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat((System.nanoTime() - sent) / 1e6).isLessThan(LATEST_ANSWER_MS);
        }
    }
}
