package cacheproxy.proxy;

import static cacheproxy.proxy.Fleet.readCommand;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.request.MetaCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a long value that breaks off takes no other response of its client's connection along. */
@Timeout(60)
class BrokenValueTest {
    private static final byte[] VALUE = new byte[1_000_000];
    private static final String FAILED = MetaCodec.FAILED_LINE.trim();
    private static final String WRITE = "ms 7f3b 5 Owrite Pc=fix,d=20000\r\nhello\r\n";

    static {
        new Random(11).nextBytes(VALUE);
    }

    private final CountDownLatch mayBreak = new CountDownLatch(1);

    /** Sends a part of a long value, and resets the connection once the test allows it. */
    private void breakOff(ScriptedServer.Connection connection, String head, int bytes) throws Exception {
        byte[] start = head.getBytes(StandardCharsets.US_ASCII);
        byte[] sent = Arrays.copyOf(start, start.length + VALUE.length + 2);
        System.arraycopy(VALUE, 0, sent, start.length, VALUE.length);
        connection.out.write(sent, 0, Math.min(bytes, sent.length - 1));
        connection.out.flush();
        mayBreak.await();
        connection.reset();
    }

    /** A node whose answers to reads with an id of "long..." break off; it answers others with a short value. */
    private ScriptedServer breakingNode(int bytes) throws IOException {
        return new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                String id = ScriptedServer.requestId(line);
                if (id.startsWith("long")) {
                    breakOff(connection, CacheResponses.head(id, VALUE.length), bytes);
                    return;
                }
                connection.send("VA 5 O" + id + " h1\r\nhello\r\n");
            }
        });
    }

    /** A node that has the long value whole for ids that begin with "whole", and answers others as told. */
    private ScriptedServer nodeWithWholeAndBrokenValues() throws IOException {
        return new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                String id = ScriptedServer.requestId(line);
                if (id.startsWith("long")) {
                    breakOff(connection, CacheResponses.head(id, VALUE.length), VALUE.length / 2);
                    return;
                }
                CacheResponses.sendValue(connection, line, VALUE);
            }
        });
    }

    /** An origin that carries out writes, after which values may break off, and fails reads. */
    private ScriptedServer writesAllowBreaks() throws IOException {
        return new ScriptedServer(connection -> {
            for (String head; (head = connection.readRequest()) != null; ) {
                boolean write = head.startsWith("PUT");
                connection.sendHttp(write ? 200 : 500, "", "r1");
                if (write) {
                    mayBreak.countDown();
                }
            }
        });
    }

    private static void assertShortValue(Fleet.Client client, String id) throws IOException {
        assertThat(client.line()).isEqualTo("VA 5 O" + id);
        assertThat(client.line()).isEqualTo("hello");
    }

    private static void assertWholeValue(Fleet.Client client, String id) throws IOException {
        assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O" + id);
        assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
        assertThat(client.line()).isEmpty();
    }

    /** Guards against a broken long value that closes the connection before the requests behind it are answered. */
    @ParameterizedTest
    @ValueSource(ints = {1, 30, 31, 500_000, 999_999, 1_000_030, Integer.MAX_VALUE})
    void answersRequestsBehindValueThatBreaksOff(int bytes) throws Exception {
        try (Fleet fleet = new Fleet()
                        .node(breakingNode(bytes))
                        .origin(writesAllowBreaks())
                        .start();
                Fleet.Client client = fleet.client()) {
            client.send(readCommand("long") + WRITE + readCommand("1") + readCommand("2"));
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
            assertShortValue(client, "1");
            assertShortValue(client, "2");
            assertShortValue(client.read("3"), "3");
        }
    }

    /** Guards against the loss of other responses wherever the broken value stands among them. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void answersRequestsAroundValueThatBreaksOff(int position) throws Exception {
        try (Fleet fleet = new Fleet()
                        .node(breakingNode(VALUE.length / 2))
                        .origin(writesAllowBreaks())
                        .start();
                Fleet.Client client = fleet.client()) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < 4; i++) {
                commands.append(readCommand(i == position ? "long" : Integer.toString(i)));
            }
            client.send(commands + WRITE);
            for (int i = 0; i < 4; i++) {
                if (i == position) {
                    assertThat(client.line()).isEqualTo(FAILED);
                } else {
                    assertShortValue(client, Integer.toString(i));
                }
            }
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
        }
    }

    /** Guards against the loss of whole values beside a broken one on the same connection. */
    @Test
    void servesWholeValuesAroundValueThatBreaksOff() throws Exception {
        try (Fleet fleet = new Fleet()
                        .node(nodeWithWholeAndBrokenValues())
                        .origin(writesAllowBreaks())
                        .start();
                Fleet.Client client = fleet.client()) {
            client.send(readCommand("whole1")
                    + readCommand("long")
                    + readCommand("whole2")
                    + WRITE
                    + readCommand("whole3"));
            assertWholeValue(client, "whole1");
            assertThat(client.line()).isEqualTo(FAILED);
            assertWholeValue(client, "whole2");
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
            assertWholeValue(client, "whole3");
        }
    }

    /** Guards against a value that does not end where its length says, which shows only after its last byte. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 1})
    void answersRequestsBehindValueOfWrongLength(int difference) throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            String id = ScriptedServer.requestId(connection.readCommand());
            connection.send(CacheResponses.head(id, VALUE.length + difference));
            connection.out.write(VALUE);
            connection.send("\r\nnothing that was asked for\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).origin(writesAllowBreaks()).start();
                Fleet.Client client = fleet.client()) {
            client.send(readCommand("long") + WRITE);
            assertThat(client.line()).isEqualTo(FAILED);
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
        }
    }

    /** Guards against a broken value of the origin, with and without a length, that takes other responses along. */
    @ParameterizedTest
    @CsvSource({"'Content-Length: 1000000\r\n', 400", "'Connection: close\r\n', 400", "'Connection: close\r\n', 200000"
    })
    void answersRequestsBehindValueOfOriginThatBreaksOff(String header, int bytes) throws Exception {
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.requestId(line) + " h0\r\n");
        ScriptedServer origin = new ScriptedServer(connection -> {
            for (String head; (head = connection.readRequest()) != null; ) {
                if (head.startsWith("PUT")) {
                    connection.sendHttp(200, "", "r1");
                    mayBreak.countDown();
                } else {
                    breakOff(connection, "HTTP/1.1 200 OK\r\n" + header + "\r\n", bytes);
                    return;
                }
            }
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.send(readCommand("long") + WRITE);
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
        }
    }

    /** Guards against a held value that keeps the responses behind it waiting although it does not go on. */
    @Test
    void answersRequestsBehindValueThatStopsArriving() throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            String id = ScriptedServer.requestId(connection.readCommand());
            connection.send(CacheResponses.head(id, VALUE.length));
            connection.out.write(VALUE, 0, VALUE.length / 2);
            connection.out.flush();
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).origin(writesAllowBreaks()).start();
                Fleet.Client client = fleet.client()) {
            client.send("mg 7f3a v Olong Pc=text,d=2000\r\n" + WRITE);
            assertThat(client.line()).isEqualTo(FAILED);
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
        }
    }

    /** Guards against requests that are sent on while a value is streamed whose end they can't outlive. */
    @Test
    void sendsNoRequestOnWhileValueIsStreamed() throws Exception {
        ScriptedServer origin = writesAllowBreaks();
        try (Fleet fleet = new Fleet()
                        .node(breakingNode(VALUE.length / 2))
                        .origin(origin)
                        .start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.read("long");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " Olong");
            client.send(WRITE);
            for (int turn = 0; turn < 500; turn++) { // turns of the event loop, in each of which it could read
                assertThat(other.send("mn\r\n").line()).isEqualTo("MN");
            }
            mayBreak.countDown();
            assertThat(client.bytes(VALUE.length).length).isLessThan(VALUE.length);
            assertThat(origin.commands).isEmpty();
        }
    }

    /** Guards against a broken value that takes responses along which were written before it. */
    @Test
    void sendsResponsesBeforeStreamedValueThatBreaksOff() throws Exception {
        byte[] whole = new byte[MetaCodec.MAX_VALUE_BYTES]; // more than the operating system takes at once
        CountDownLatch mayAnswer = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                mayAnswer.await();
                String id = ScriptedServer.requestId(line);
                if (id.equals("long")) {
                    breakOff(connection, CacheResponses.head(id, VALUE.length), VALUE.length / 2);
                    return;
                }
                CacheResponses.sendValue(connection, line, whole);
            }
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client slow = fleet.slowClient()) {
            slow.send(readCommand("1") + readCommand("long"));
            fleet.awaitPendingRequests(2);
            mayAnswer.countDown();
            fleet.awaitPendingRequests(1); // the first one is written, and mostly waits for the client
            mayBreak.countDown();
            fleet.awaitPendingRequests(0);
            assertThat(slow.line()).isEqualTo("VA " + whole.length + " O1");
            assertThat(slow.bytes(whole.length)).isEqualTo(whole);
            assertThat(slow.line()).isEmpty();
            assertThat(slow.line()).isEqualTo("VA " + VALUE.length + " Olong");
            assertThat(slow.bytes(VALUE.length).length).isLessThan(VALUE.length);
        }
    }

    /** Guards against a client whose close is not noticed while the proxy does not read from it. */
    @Test
    void noticesClientThatClosesWhileValueIsStreamed() throws Exception {
        try (Fleet fleet = new Fleet().node(breakingNode(VALUE.length / 2)).start();
                Fleet.Client client = fleet.client()) {
            client.read("long");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " Olong");
            client.send(WRITE).closeOutput();
            fleet.awaitPendingRequests(0);
        }
    }

    /** Guards against a tier of proxies whose broken values take responses along at the tier before it. */
    @Test
    void answersRequestsBehindValueThatBreaksOffBehindAnotherProxy() throws Exception {
        ScriptedServer origin = writesAllowBreaks();
        try (Fleet second = new Fleet()
                        .node(breakingNode(VALUE.length / 2))
                        .origin(writesAllowBreaks())
                        .start();
                Fleet first = new Fleet()
                        .node("127.0.0.1:" + second.proxy.address().getPort())
                        .origin(origin)
                        .start();
                Fleet.Client client = first.client()) {
            client.send(readCommand("long") + WRITE + readCommand("1"));
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
            assertShortValue(client, "1");
        }
    }

    /** Guards against a client that reads nothing and so keeps its connection and a server's for ever. */
    @Test
    void closesClientThatReadsNothingBeforeHeldValue() throws Exception {
        byte[] whole = new byte[MetaCodec.MAX_VALUE_BYTES]; // more than the operating system takes at once
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                CacheResponses.sendValue(connection, line, whole);
            }
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client silent = fleet.slowClient()) {
            silent.send(readCommand("1") + readCommand("2") + readCommand("3"));
            fleet.awaitPendingRequests(2); // the first one is written, and mostly waits for the client
            fleet.awaitPendingRequests(0);
        }
    }

    /** Guards against a request that stays unread after the value that it waited for has been streamed. */
    @Test
    void answersRequestThatArrivesWhileValueIsStreamed() throws Exception {
        CountDownLatch mayContinue = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String id = ScriptedServer.requestId(connection.readCommand());
            connection.send(CacheResponses.head(id, VALUE.length));
            connection.out.write(VALUE, 0, 1000);
            connection.out.flush();
            mayContinue.await();
            connection.out.write(VALUE, 1000, VALUE.length - 1000);
            connection.send("\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).origin(writesAllowBreaks()).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            client.send("ms 7f3b 5 Owrite Pc=fix,d=20000\r\nhe"); // a part may be read now or later
            mayContinue.countDown();
            client.send("llo\r\nmn\r\n");
            assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
            assertThat(client.line()).isEmpty();
            assertThat(client.line()).isEqualTo("HD Owrite cr1");
            assertThat(client.line()).isEqualTo("MN");
        }
    }
}
