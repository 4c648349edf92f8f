package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.upstream.UpstreamConnection;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests that long values are streamed as they arrive, and paused while the client does not read. */
class ValueStreamingTest {
    private static final byte[] VALUE = new byte[MetaCodec.MAX_VALUE_BYTES];

    static {
        new Random(7).nextBytes(VALUE);
    }

    private static void head(ScriptedServer.Connection connection, String command) throws IOException {
        connection.send(CacheResponses.head(ScriptedServer.requestId(command), VALUE.length));
    }

    @Test
    void passesLongCacheValueAndResponseAfterIt() throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                CacheResponses.sendValue(connection, line, VALUE);
            }
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.read("1").read("2");
            for (String id : new String[] {"1", "2"}) {
                assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O" + id);
                assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
                assertThat(client.line()).isEmpty();
            }
        }
    }

    @Test
    void passesLongOriginValue() throws Exception {
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + VALUE.length + "\r\n\r\n");
            connection.out.write(VALUE);
            connection.out.flush();
            connection.awaitEnd();
        });
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.requestId(line) + " h0\r\n");
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
        }
    }

    @Test
    void passesFirstBytesBeforeLastBytesArrive() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            head(connection, connection.readCommand());
            connection.out.write(VALUE, 0, 1000);
            connection.out.flush();
            seen.await();
            connection.out.write(VALUE, 1000, VALUE.length - 1000);
            connection.send("\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.read("1").line();
            assertThat(client.bytes(1000)).hasSize(1000);
            seen.countDown();
            assertThat(client.bytes(VALUE.length - 1000)).hasSize(VALUE.length - 1000);
        }
    }

    @Test
    void pausesServerWhileClientDoesNotRead() throws Exception {
        AtomicLong sent = new AtomicLong();
        CountDownLatch over = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            connection.socket.setSendBufferSize(64 << 10);
            for (String line; (line = connection.readCommand()) != null; ) {
                head(connection, line);
                for (int at = 0; at < VALUE.length; at += 1 << 14) {
                    connection.out.write(VALUE, at, 1 << 14);
                    sent.addAndGet(1 << 14);
                }
                connection.send("\r\n");
            }
            over.countDown();
        });
        int values = 16;
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < values; i++) {
                client.read(Integer.toString(i));
            }
            client.line();
            Fleet.Client other = fleet.client();
            for (int turn = 0; turn < 2000; turn++) { // turns of the event loop, in each of which the proxy could read
                other.send("mn\r\n").line();
            }
            // The system's buffers take some megabytes; a proxy that does not pause reading takes all 64.
            assertThat(sent.get()).isLessThan(12 << 20);
            client.bytes(VALUE.length);
            client.line();
            for (int i = 1; i < values; i++) {
                assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O" + i);
                client.bytes(VALUE.length + 2);
            }
        }
    }

    @Test
    void closesOnlyItsClientsConnectionWhenLongValueBreaksOff() throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            head(connection, connection.readCommand());
            connection.out.write(VALUE, 0, 100_000);
            connection.out.flush();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            assertThat(client.bytes(VALUE.length).length).isLessThan(VALUE.length);
            assertThat(fleet.client().send("mn\r\n").line()).isEqualTo("MN");
        }
    }

    @Test
    void freesServerConnectionWhenClientDisconnectsDuringValue() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            head(connection, connection.readCommand());
            connection.out.write(VALUE, 0, 100_000);
            connection.out.flush();
            connection.awaitEnd();
            ended.countDown();
        });
        try (Fleet fleet = new Fleet().node(node).start()) {
            Fleet.Client client = fleet.client();
            client.read("1").line();
            client.close();
            assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static ScriptedServer missing() throws IOException {
        return ScriptedServer.node(line -> "EN O" + ScriptedServer.requestId(line) + " h0\r\n");
    }

    /**
     * An origin that answers one request on each connection without a length, and then closes the connection (RFC 9112,
     * 6.3).
     */
    private static ScriptedServer endsByClosing(int length) throws IOException {
        return new ScriptedServer(connection -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
            connection.out.write(VALUE, 0, length);
            connection.out.flush();
            connection.socket.shutdownOutput();
            connection.awaitEnd();
        });
    }

    @Test
    void servesValueEndedByConnectionCloseWithItsLength() throws Exception {
        for (int length : new int[] {
            0, 1, 1000, MetaCodec.MAX_BUFFERED_VALUE_BYTES, MetaCodec.MAX_BUFFERED_VALUE_BYTES + 1, VALUE.length
        }) {
            try (Fleet fleet = new Fleet()
                            .node(missing())
                            .origin(endsByClosing(length))
                            .start();
                    Fleet.Client client = fleet.client()) {
                client.read("1");
                assertThat(client.line()).isEqualTo("VA " + length + " O1");
                assertThat(client.bytes(length)).isEqualTo(java.util.Arrays.copyOf(VALUE, length));
                assertThat(client.line()).isEmpty();
                client.read("2");
                assertThat(client.line()).isEqualTo("VA " + length + " O2");
            }
        }
    }

    @Test
    void servesChunkedValueInPiecesOfAnySizeWithItsLength() throws Exception {
        ScriptedServer origin = new ScriptedServer(connection -> {
            Random random = new Random(3);
            for (String head; (head = connection.readRequest()) != null; ) {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int at = 0, length; at < 300_000; at += length) {
                    length = Math.min(
                            300_000 - at, random.nextInt(3) == 0 ? 1 + random.nextInt(9) : 1 + random.nextInt(40_000));
                    connection.send(Integer.toHexString(length) + "\r\n");
                    connection.out.write(VALUE, at, length);
                    connection.send("\r\n");
                }
                connection.send("0\r\n\r\n");
            }
        });
        try (Fleet fleet = new Fleet().node(missing()).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            for (String id : new String[] {"1", "2"}) {
                client.read(id);
                assertThat(client.line()).isEqualTo("VA 300000 O" + id);
                assertThat(client.bytes(300_000)).isEqualTo(java.util.Arrays.copyOf(VALUE, 300_000));
                assertThat(client.line()).isEmpty();
            }
        }
    }

    /** Guards against a connection that fails when the rest of a value completes several responses at once. */
    @Test
    void servesResponsesBehindValueOfUnknownLengthOnceTheClientReads() throws Exception {
        int behind = 5;
        CountDownLatch answered = new CountDownLatch(behind);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                String id = ScriptedServer.requestId(line);
                boolean missing = id.equals("long");
                connection.send(missing ? "EN Olong h0\r\n" : "VA 5 O" + id + " h1\r\nhello\r\n");
                if (!missing) {
                    answered.countDown();
                }
            }
        });
        try (Fleet fleet = new Fleet()
                        .node(node)
                        .origin(endsByClosing(VALUE.length))
                        .start();
                Fleet.Client client = fleet.client()) {
            StringBuilder commands = new StringBuilder(Fleet.readCommand("long"));
            for (int i = 0; i < behind; i++) {
                commands.append(Fleet.readCommand(Integer.toString(i)));
            }
            client.send(commands.toString());
            assertThat(answered.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " Olong");
            Fleet.Client other = fleet.client();
            for (int turn = 0; turn < 200; turn++) { // turns of the event loop, in which the short responses arrive
                other.send("mn\r\n").line();
            }
            assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
            assertThat(client.line()).isEmpty();
            for (int i = 0; i < behind; i++) {
                assertThat(client.line()).isEqualTo("VA 5 O" + i);
                assertThat(client.line()).isEqualTo("hello");
            }
        }
    }

    @Test
    void doesNotServeValueOfUnknownLengthWhenConnectionIsReset() throws Exception {
        for (int length : new int[] {1000, 200_000}) {
            ScriptedServer origin = new ScriptedServer(connection -> {
                connection.readRequest();
                connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                connection.out.write(VALUE, 0, length);
                connection.out.flush();
                connection.socket.setSoLinger(true, 0);
                connection.socket.close();
            });
            try (Fleet fleet = new Fleet().node(missing()).origin(origin).start();
                    Fleet.Client client = fleet.client()) {
                client.read("1");
                assertThat(client.line()).startsWith("SERVER_ERROR");
            }
        }
    }

    @Test
    void servesAllValuesOfUnknownLengthWithinMemoryLimit() throws Exception {
        int clients = 12; // the memory is enough for two values of this length
        try (Fleet fleet =
                new Fleet().node(missing()).origin(endsByClosing(VALUE.length)).start()) {
            ExecutorService readers = Executors.newFixedThreadPool(clients);
            List<Future<Integer>> all = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                int key = i;
                Fleet.Client client = ask(fleet.client(), key, 0);
                all.add(readers.submit(() -> {
                    int again = 0; // retries, as the proxy limits requests to an origin that has not answered any yet
                    String line = client.line();
                    while (line.startsWith("SERVER_ERROR busy")) {
                        line = ask(client, key, ++again).line();
                    }
                    assertThat(line).isEqualTo("VA " + VALUE.length + " O" + key + "-" + again);
                    assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
                    assertThat(client.line()).isEmpty();
                    return key;
                }));
            }
            for (Future<Integer> reader : all) {
                reader.get();
            }
            readers.shutdown();
        }
    }

    private static Fleet.Client ask(Fleet.Client client, int key, int again) throws IOException {
        return client.send("mg %x v O%d-%d Pc=text,d=25000\r\n".formatted(0x7f3a0000 + key, key, again));
    }

    @Test
    void freesMemoryOfValueWhenClientDisconnects() throws Exception {
        try (Fleet fleet =
                new Fleet().node(missing()).origin(endsByClosing(VALUE.length)).start()) {
            for (int i = 0; i < 12; i++) {
                try (Fleet.Client leaver = fleet.client()) {
                    leaver.send("mg %x v O%d Pc=text,d=25000\r\n".formatted(0x7f3a0000 + i, i))
                            .line();
                }
            }
            try (Fleet.Client last = fleet.client()) {
                last.read("last");
                assertThat(last.line()).isEqualTo("VA " + VALUE.length + " Olast");
                assertThat(last.bytes(VALUE.length)).isEqualTo(VALUE);
            }
        }
    }

    @Test
    void doesNotCutOffLongValueWhoseHeadArrivesInPieces() throws Exception {
        CountDownLatch resume = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String id = ScriptedServer.requestId(connection.readCommand());
            connection.send("VA " + VALUE.length);
            connection.out.flush();
            connection.send(" O" + id + " h1\r\n");
            connection.out.write(VALUE, 0, 1000);
            connection.out.flush();
            resume.await();
            connection.out.write(VALUE, 1000, VALUE.length - 1000);
            connection.send("\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.read("1").line();
            assertThat(client.bytes(1000)).hasSize(1000);
            CountDownLatch pause = new CountDownLatch(1);
            fleet.proxy.runAfter(2 * UpstreamConnection.PARTIAL_RESPONSE_TIMEOUT_MS, pause::countDown);
            pause.await();
            resume.countDown();
            assertThat(client.bytes(VALUE.length - 1000)).hasSize(VALUE.length - 1000);
        }
    }
}
