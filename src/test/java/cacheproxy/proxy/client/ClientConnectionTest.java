package cacheproxy.proxy.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.request.MetaCodec;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how the proxy handles the behaviour of clients, on loopback sockets. */
class ClientConnectionTest {
    private static String hitResponse(String command) {
        return "VA 5 O" + ScriptedServer.requestId(command) + " h1\r\nhello\r\n";
    }

    @Test
    void stopsReadingFromClientThatTakesNoResponses() throws Exception {
        try (Fleet fleet = new Fleet().node("127.0.0.1:9").start();
                Fleet.Client writer = fleet.client();
                Fleet.Client other = fleet.client()) {
            byte[] commands = "mn\r\n".repeat(64 << 10).getBytes(UTF_8);
            AtomicLong sent = new AtomicLong();
            Thread writing = new Thread(() -> {
                try {
                    while (true) {
                        writer.send(commands);
                        sent.addAndGet(commands.length);
                    }
                } catch (IOException e) {
                    // the test has ended
                }
            });
            writing.setDaemon(true);
            writing.start();
            for (int turn = 0; turn < 5000; turn++) {
                other.send("mn\r\n").line();
            }
            assertThat(sent.get())
                    .as("bytes sent: bounded by the socket buffers of both directions")
                    .isLessThan(24 << 20);
        }
    }

    @Test
    void respondsInOrderToSplitAndPipelinedCommands() throws Exception {
        try (Fleet fleet = new Fleet()
                        .node(ScriptedServer.node(ClientConnectionTest::hitResponse))
                        .start();
                Fleet.Client client = fleet.client()) {
            client.send("m").send("n\r").send("\n");
            assertThat(client.line()).isEqualTo("MN");
            client.read("1").send("mn\r\n").read("2").send("nonsense\r\n");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            assertThat(client.line()).isEqualTo("hello");
            assertThat(client.line()).isEqualTo("MN");
            assertThat(client.line()).isEqualTo("VA 5 O2");
            assertThat(client.line()).isEqualTo("hello");
            assertThat(client.line()).isEqualTo("ERROR");
        }
    }

    @Test
    void holdsBackSecondResponseUntilFirstIsWritten() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String line = connection.readCommand();
            if (ScriptedServer.requestId(line).equals("1")) {
                second.await();
            }
            connection.send(hitResponse(line));
            second.countDown();
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.read("1").read("2");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            client.line();
            assertThat(client.line()).isEqualTo("VA 5 O2");
        }
    }

    @Test
    void passesCommandOnUnchangedExceptDeadline() throws Exception {
        ScriptedServer node = ScriptedServer.node(ClientConnectionTest::hitResponse);
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.send("mg 7f3a v Oab12 Pc=text,t=acme,d=20000,r=1 q\r\n");
            client.line();
            assertThat(node.awaitCommand()).matches("mg 7f3a v Oab12 Pc=text,t=acme,d=(20000|1\\d{4}),r=1 q");
            client.line();
            client.send("mg 7f3a v Oab13 Pc=text,r=1 q\r\n"); // no deadline: gets the default of its class
            client.line();
            assertThat(node.awaitCommand()).matches("mg 7f3a v Oab13 Pc=text,r=1,d=(30000|2\\d{4}) q");
        }
    }

    @Test
    void passesLongestBinaryValueToOrigin() throws Exception {
        byte[] value = new byte[MetaCodec.MAX_VALUE_BYTES];
        new Random(1).nextBytes(value);
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.sendHttp(200, "", "r1");
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.send("ms 7f3a " + value.length + " O9 Pc=fix,d=20000\r\n")
                    .send(value)
                    .send("\r\n");
            assertThat(client.line()).isEqualTo("HD O9 cr1");
            String request = origin.awaitCommand();
            assertThat(request).startsWith("PUT /7f3a HTTP/1.1\n").containsIgnoringCase("req-id: 9\n");
            // The deadline is the time left when the request is forwarded: always less than the client's deadline,
            // because the transfer of the value has used up a part of it.
            assertThat(request.lines()
                            .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("req-extra: "))
                            .toList())
                    .singleElement()
                    .asString()
                    .matches("(?i)req-extra: c=fix,d=1\\d{4}");
            String body = request.substring(request.indexOf("\n\n") + 2);
            assertThat(body.equals(new String(value, StandardCharsets.ISO_8859_1)))
                    .isTrue();
        }
    }

    /**
     * Guards against connections that wait for a second in the accept queue after a momentary shortage of descriptors:
     * they must be accepted soon after it.
     */
    @Test
    void acceptsAgainSoonAfterFailedAccept() throws Exception {
        try (Fleet fleet = new Fleet().node("127.0.0.1:9").start()) {
            for (int i = 0; i < 3; i++) {
                fleet.proxy.simulateAcceptFailure(new IOException("accept(..) failed: Too many open files in system"));
                long failed = System.nanoTime();
                try (Fleet.Client client = fleet.client()) {
                    assertThat(client.send("mn\r\n").line()).isEqualTo("MN");
                }
                assertThat((System.nanoTime() - failed) / 1e6)
                        .as("ms until the response; Netty's default pause is 1,000 ms")
                        .isLessThan(900);
            }
        }
    }

    /**
     * A client that stops in the middle of a command and stays connected must be closed within 3 s, even if it has sent
     * complete commands before.
     */
    @Test
    void closesClientThatStopsWithinLaterCommandAfterPendingResponses() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String first = connection.readCommand();
            connection.send(hitResponse(first));
            String second = connection.readCommand();
            stopped.await();
            connection.send(hitResponse(second));
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client idle = fleet.client();
                Fleet.Client waiting = fleet.client()) {
            idle.read("1");
            assertThat(idle.line()).isEqualTo("VA 5 O1");
            assertThat(idle.line()).isEqualTo("hello");
            long begun = System.nanoTime();
            waiting.send("mg 7f3a9c21e0b4d655 v O2 Pc=text,d=20000\r\nmg 7f3a9c");
            idle.send("ms 7f3a 5 O3 Pc=fix,d=20000\r\nhe");
            assertThat(idle.ended()).isTrue();
            assertThat((System.nanoTime() - begun) / 1e9)
                    .as("seconds until the close; 10 is the timeout of a client that does not read a response")
                    .isLessThan(6);
            stopped.countDown();
            assertThat(waiting.line()).isEqualTo("VA 5 O2");
            assertThat(waiting.line()).isEqualTo("hello");
            assertThat(waiting.ended()).isTrue();
        }
    }

    @Test
    void reportsInvalidCommandsAndClosesOnlyWhenFramingIsLost() throws Exception {
        try (Fleet fleet = new Fleet()
                .node(ScriptedServer.node(ClientConnectionTest::hitResponse))
                .start()) {
            try (Fleet.Client client = fleet.client()) {
                client.send("mg 7f3a v\r\n")
                        .send("ms 7f3a 5 v\r\nhello\r\n")
                        .send("mg 7f3a v O1 Pc=none,d=5\r\n")
                        .read("2");
                assertThat(client.line()).startsWith("CLIENT_ERROR");
                assertThat(client.line()).startsWith("CLIENT_ERROR");
                assertThat(client.line()).startsWith("CLIENT_ERROR");
                assertThat(client.line()).isEqualTo("VA 5 O2");
            }
            for (String unframed : new String[] {
                "ms 7f3a -5 O1 Pc=fix,d=500\r\n",
                "ms 7f3a 5 O1 Pc=fix,d=500\r\nhelloXX",
                "ms 7f3a 4194305 O1 Pc=fix,d=500\r\n",
                "x".repeat(MetaCodec.MAX_LINE_BYTES)
            }) {
                try (Fleet.Client client = fleet.client()) {
                    client.send(unframed);
                    assertThat(client.line()).as(unframed.substring(0, 10)).startsWith("CLIENT_ERROR");
                    assertThat(client.ended()).isTrue();
                }
            }
        }
    }

    @Test
    void rejectsInvalidDeadlineWithoutSendingRequest() throws Exception {
        ScriptedServer node = ScriptedServer.node(ClientConnectionTest::hitResponse);
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            for (String deadline :
                    new String[] {"soon", "", "-5", "0", "NaN", "Infinity", "20000d", "1.2.3", "9".repeat(400)}) {
                client.send("mg 7f3a v O1 Pc=text,d=" + deadline + "\r\n");
                assertThat(client.line()).as(deadline).startsWith("CLIENT_ERROR");
            }
            client.send("mg 7f3a v O2 Pc=text\r\n"); // the default deadline of the class
            assertThat(client.line()).isEqualTo("VA 5 O2");
            assertThat(node.commands).hasSize(1);
        }
    }

    @Test
    void rejectsIdOfOpenRequestUntilItsResponse() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                release.await();
                connection.send(hitResponse(line));
            }
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.read("1");
            node.awaitCommand();
            other.send("mg 7f3b v O1 Pc=text,d=20000\r\nms 7f3b 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(other.line()).startsWith("CLIENT_ERROR");
            assertThat(other.line()).startsWith("CLIENT_ERROR");
            release.countDown();
            assertThat(client.line()).isEqualTo("VA 5 O1");
            client.line();
            assertThat(client.read("1").line()).isEqualTo("VA 5 O1");
            assertThat(node.commands).hasSize(1);
        }
    }

    @Test
    void closesConnectionsWithoutCompleteCommandAndKeepsOthers() throws Exception {
        try (Fleet fleet = new Fleet()
                        .node(ScriptedServer.node(ClientConnectionTest::hitResponse))
                        .start();
                Fleet.Client used = fleet.client();
                Fleet.Client silent = fleet.client();
                Fleet.Client partialCommand = fleet.client();
                Fleet.Client partialValue = fleet.client()) {
            assertThat(used.send("mn\r\n").line()).isEqualTo("MN");
            partialCommand.send("mg 7f3a");
            partialValue.send("ms 7f3a 500 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(silent.ended()).isTrue();
            assertThat(partialCommand.ended()).isTrue();
            assertThat(partialValue.ended()).isTrue();
            used.read("1");
            assertThat(used.line()).isEqualTo("VA 5 O1");
        }
    }

    @Test
    void rejectsUnprintableBytesWithoutOriginConnection() throws Exception {
        ScriptedServer origin = new ScriptedServer(connection -> {
            while (connection.readRequest() != null) {
                connection.sendHttp(200, "", "r1");
            }
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 60; i++) { // more than the limit on connections to the origin
                client.send("ms 7f3a 5 O" + i + "\u0001 Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).startsWith("CLIENT_ERROR");
            }
            client.send("ms 7f3a 5 O\u00e9 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).startsWith("CLIENT_ERROR");
            client.send("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("HD O1 cr1");
            assertThat(origin.commands).hasSize(1);
        }
    }

    @Test
    void evictsIdleConnectionForOneThatCameWhileAllWereBusy() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                release.await();
                connection.send(hitResponse(line));
            }
        });
        Fleet setup = new Fleet().node(node);
        JsonObject limits = new JsonObject();
        limits.addProperty("sockets", 32); // room for 16 clients
        setup.config.add("limits", limits);
        try (Fleet fleet = setup.start()) {
            Fleet.Client[] busy = new Fleet.Client[17];
            for (int i = 0; i < busy.length; i++) {
                busy[i] = fleet.client().read("b" + i);
                while (fleet.proxy.pendingRequests() <= i) {
                    Thread.onSpinWait(); // until the proxy has received the request
                }
            }
            Fleet.Client late = fleet.client().read("late");
            release.countDown();
            for (int i = 0; i < busy.length; i++) {
                assertThat(busy[i].line()).isEqualTo("VA 5 Ob" + i);
            }
            assertThat(late.line()).isEqualTo("VA 5 Olate");
        }
    }

    @Test
    void cancelsAttemptsOfDisconnectedClient() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            connection.readCommand();
            connection.awaitEnd();
            ended.countDown();
        });
        try (Fleet fleet = new Fleet().node(node).start()) {
            Fleet.Client client = fleet.client();
            client.read("1");
            node.awaitCommand();
            client.close();
            assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    @Timeout(60)
    void keepsNoStateOfCompletedRequests() throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                if (!ScriptedServer.requestId(line).equals("silent")) {
                    connection.send(
                            ScriptedServer.requestId(line).startsWith("m")
                                    ? "EN O" + ScriptedServer.requestId(line) + " h0\r\n"
                                    : hitResponse(line));
                }
            }
        });
        ScriptedServer origin = new ScriptedServer(connection -> {
            while (connection.readRequest() != null) {
                connection.sendHttp(200, "", "fetch");
            }
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 50; i++) {
                client.read("h" + i).read("m" + i).send("ms 7f3a 5 Ow" + i + " Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).isEqualTo("VA 5 Oh" + i);
                client.line();
                assertThat(client.line()).isEqualTo("VA 5 Om" + i);
                client.line();
                assertThat(client.line()).isEqualTo("HD Ow" + i + " cfetch");
            }
            assertThat(fleet.proxy.pendingRequests()).isZero();
            client.read("silent");
            while (!ScriptedServer.requestId(node.awaitCommand()).equals("silent")) {
                // skip the commands of the requests before
            }
            assertThat(fleet.proxy.pendingRequests()).isEqualTo(1);
            client.close();
            while (fleet.proxy.pendingRequests() > 0) {
                Thread.onSpinWait(); // until the proxy has noticed that the client has disconnected
            }
        }
    }

    @Test
    void rejectsValueWithoutMemoryBeforeSendingIt() throws Exception {
        ScriptedServer origin = new ScriptedServer(connection ->
                connection.sendHttp(200, "", connection.readRequest().substring(0, 3)));
        Fleet setup = new Fleet().origin(origin);
        JsonObject limits = new JsonObject();
        limits.addProperty("memory_mb", 8);
        setup.config.add("limits", limits);
        try (Fleet fleet = setup.start();
                Fleet.Client client = fleet.client()) {
            client.send("ms 7f3a 2000000 O1 Pc=fix,d=20000\r\n")
                    .send(new byte[2_000_000])
                    .send("\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR busy");
            client.send("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("HD O2 cPUT");
            assertThat(ScriptedServer.requestId(origin.awaitCommand())).isEqualTo("2");
        }
    }
}
