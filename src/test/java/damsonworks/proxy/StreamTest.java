package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import damsonworks.standin.ScriptedServer;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Values over 64 KiB: passed on as they come, held back while the client does not read. */
class StreamTest {
    private static final byte[] VALUE = new byte[MetaCodec.MAX_VALUE];

    static {
        new Random(7).nextBytes(VALUE);
    }

    private static void head(ScriptedServer.Connection c, String command) throws IOException {
        c.say("VA " + VALUE.length + " O" + ScriptedServer.id(command) + " h1\r\n");
    }

    @Test
    void aLongValueOfANodePassesWholeAndTheNextAnswerAfterIt() throws Exception {
        ScriptedServer node = new ScriptedServer(c -> {
            for (String line; (line = c.command()) != null;) {
                head(c, line);
                c.out.write(VALUE);
                c.say("\r\n");
            }
        });
        try (Fleet fleet = new Fleet().node(node).start(); Fleet.Client client = fleet.client()) {
            client.read("1").read("2");
            for (String id : new String[] {"1", "2"}) {
                assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O" + id);
                assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
                assertThat(client.line()).isEmpty();
            }
        }
    }

    @Test
    void aLongValueOfTheOriginPassesWhole() throws Exception {
        ScriptedServer origin = new ScriptedServer(c -> {
            c.request();
            c.say("HTTP/1.1 200 OK\r\nContent-Length: " + VALUE.length + "\r\n\r\n");
            c.out.write(VALUE);
            c.out.flush();
            c.awaitEnd();
        });
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.id(line) + " h0\r\n");
        try (Fleet fleet = new Fleet().node(node).origin(origin).start(); Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
        }
    }

    @Test
    void theFirstBytesDoNotWaitForTheLast() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(c -> {
            head(c, c.command());
            c.out.write(VALUE, 0, 1000);
            c.out.flush();
            seen.await();
            c.out.write(VALUE, 1000, VALUE.length - 1000);
            c.say("\r\n");
            c.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start(); Fleet.Client client = fleet.client()) {
            client.read("1").line();
            assertThat(client.bytes(1000)).hasSize(1000);
            seen.countDown();
            assertThat(client.bytes(VALUE.length - 1000)).hasSize(VALUE.length - 1000);
        }
    }

    @Test
    void aClientThatDoesNotReadHoldsTheNodeBack() throws Exception {
        AtomicLong sent = new AtomicLong();
        CountDownLatch over = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(c -> {
            for (String line; (line = c.command()) != null;) {
                head(c, line);
                for (int at = 0; at < VALUE.length; at += 1 << 14) {
                    c.out.write(VALUE, at, 1 << 14);
                    sent.addAndGet(1 << 14);
                }
                c.say("\r\n");
            }
            over.countDown();
        });
        int values = 16;
        try (Fleet fleet = new Fleet().node(node).start(); Fleet.Client client = fleet.client()) {
            for (int i = 0; i < values; i++) {
                client.read(Integer.toString(i));
            }
            client.line();
            client.bytes(VALUE.length);
            fleet.client().say("mn\r\n").line();
            // The system's own buffers take some megabytes; a proxy that does not hold back takes all 64.
            assertThat(sent.get()).isLessThan((long) values * VALUE.length / 2);
            client.line();
            for (int i = 1; i < values; i++) {
                assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O" + i);
                client.bytes(VALUE.length + 2);
            }
        }
    }

    @Test
    void aValueCutInTheMiddleEndsTheClientsConnectionAndNothingElse() throws Exception {
        ScriptedServer node = new ScriptedServer(c -> {
            head(c, c.command());
            c.out.write(VALUE, 0, 100_000);
            c.out.flush();
        });
        try (Fleet fleet = new Fleet().node(node).start(); Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            assertThat(client.bytes(VALUE.length).length).isLessThan(VALUE.length);
            assertThat(fleet.client().say("mn\r\n").line()).isEqualTo("MN");
        }
    }

    @Test
    void aClientThatLeavesInTheMiddleFreesTheNodesConnection() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(c -> {
            head(c, c.command());
            c.out.write(VALUE, 0, 100_000);
            c.out.flush();
            c.awaitEnd();
            ended.countDown();
        });
        try (Fleet fleet = new Fleet().node(node).start()) {
            Fleet.Client client = fleet.client();
            client.read("1").line();
            client.close();
            assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }
}
