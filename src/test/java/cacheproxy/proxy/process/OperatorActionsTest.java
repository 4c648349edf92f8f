package cacheproxy.proxy.process;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.request.MetaCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests entering and leaving standby on a proxy's own sockets, while requests are pending. */
@Timeout(60)
class OperatorActionsTest {
    private static Fleet fleet() {
        Fleet fleet = new Fleet();
        fleet.config.addProperty("control", "127.0.0.1:0");
        return fleet;
    }

    private static String call(Fleet fleet, String line) throws IOException {
        try (Socket operator = new Socket(
                InetAddress.getLoopbackAddress(), fleet.proxy.controlAddress().getPort())) {
            operator.getOutputStream().write((line + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(UTF_8));
            return new String(operator.getInputStream().readAllBytes(), UTF_8).substring(9, 12);
        }
    }

    @Test
    void standbyClosesIdleConnectionsAndLosesNoRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                release.await();
                connection.send("VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
            }
        });
        try (Fleet fleet = fleet().node(node).start();
                Fleet.Client idle = fleet.client();
                Fleet.Client busy = fleet.client();
                Fleet.Client half = fleet.client()) {
            assertThat(call(fleet, "GET /status")).isEqualTo("200");
            assertThat(idle.send("mn\r\n").line()).isEqualTo("MN");
            half.send("mn\r\nm");
            assertThat(half.line()).isEqualTo("MN");
            busy.read("1");
            node.awaitCommand();
            assertThat(call(fleet, "POST /standby")).isEqualTo("200");
            assertThat(call(fleet, "GET /status")).isEqualTo("503");
            assertThat(idle.ended()).isTrue();
            half.send("n\r\n"); // a command that had been received in part is still answered
            assertThat(half.line()).isEqualTo("SERVER_ERROR standby");
            assertThat(half.ended()).isTrue();
            // A client that does not know of the standby is still served, and its connection is closed afterwards.
            try (Fleet.Client late = fleet.client()) {
                late.read("2");
                release.countDown();
                assertThat(late.line()).isEqualTo("VA 5 O2");
                assertThat(late.line()).isEqualTo("hello");
                assertThat(late.ended()).isTrue();
            }
            assertThat(busy.line()).isEqualTo("VA 5 O1");
            assertThat(busy.line()).isEqualTo("hello");
            assertThat(busy.ended()).isTrue();
            assertThat(call(fleet, "POST /active")).isEqualTo("200");
            assertThat(call(fleet, "GET /status")).isEqualTo("200");
            try (Fleet.Client back = fleet.client()) {
                assertThat(back.send("mn\r\n").line()).isEqualTo("MN");
                assertThat(back.read("3").line()).isEqualTo("VA 5 O3");
                assertThat(back.line()).isEqualTo("hello");
                assertThat(back.send("mn\r\n").line()).isEqualTo("MN");
            }
        }
    }

    /**
     * A client stops reading in the middle of a value of 4 MiB, and standby begins: status requests are still answered,
     * and the value arrives complete.
     */
    @Test
    void answersStatusDuringStreamedValueThatStandbyLetsEnd() throws Exception {
        byte[] value = new byte[MetaCodec.MAX_VALUE_BYTES];
        new Random(5).nextBytes(value);
        ScriptedServer node = new ScriptedServer(connection -> {
            connection.send(
                    "VA " + value.length + " O" + ScriptedServer.requestId(connection.readCommand()) + " h1\r\n");
            connection.out.write(value);
            connection.send("\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = fleet().node(node).start();
                Fleet.Client reader = fleet.client()) {
            reader.read("1");
            assertThat(reader.line()).isEqualTo("VA " + value.length + " O1");
            byte[] first = reader.bytes(1000);
            for (int i = 0; i < 100; i++) {
                assertThat(call(fleet, "GET /status")).isEqualTo("200");
            }
            assertThat(call(fleet, "POST /standby")).isEqualTo("200");
            assertThat(call(fleet, "GET /status")).isEqualTo("503");
            byte[] rest = reader.bytes(value.length - 1000);
            assertThat(Arrays.equals(value, 0, 1000, first, 0, 1000)).isTrue();
            assertThat(Arrays.equals(value, 1000, value.length, rest, 0, rest.length))
                    .isTrue();
            assertThat(reader.line()).isEmpty();
            assertThat(reader.ended()).isTrue();
        }
    }

    @Test
    void keepsNewConnectionInStandbyUntilItsFirstRequest() throws Exception {
        try (Fleet fleet = fleet().node("127.0.0.1:9").start();
                Fleet.Client first = fleet.client()) {
            assertThat(first.send("mn\r\n").line()).isEqualTo("MN");
            call(fleet, "POST /standby");
            assertThat(first.ended()).isTrue(); // by now, all connections have been closed or are about to be
            try (Fleet.Client late = fleet.client()) {
                assertThat(late.send("mn\r\n").line()).isEqualTo("SERVER_ERROR standby");
                assertThat(late.ended()).isTrue();
            }
        }
    }

    /** A node that answers each command when the next one has come, so that one is always out. */
    private static ScriptedServer nodeThatIsOneAnswerBehind() throws IOException {
        return new ScriptedServer(connection -> {
            String before = null;
            for (String line; (line = connection.readCommand()) != null; before = line) {
                if (before != null) {
                    connection.send("VA 5 O" + ScriptedServer.requestId(before) + " h1\r\nhello\r\n");
                }
            }
        });
    }

    private static Fleet withShortDeadlines(Fleet fleet) {
        return fleet.set("balancers", "60") // one connection to the node, so that answers come in order
                .set("caps.second-copies", "false")
                .set("caps.may-cancel", "false")
                .set("classes.0.deadline", "1000.0");
    }

    private static String shortRead(int number) {
        return "mg 7f3a9c21e0b4d655 v Oa" + number + " Pc=text,d=1000\r\n";
    }

    /** Guards against a client that always has a request out and is served in standby for as long as it likes. */
    @Test
    void standbyEndsConnectionThatAlwaysHasARequestOut() throws Exception {
        try (Fleet fleet = withShortDeadlines(fleet())
                        .node(nodeThatIsOneAnswerBehind())
                        .start();
                Fleet.Client client = fleet.client()) {
            client.send(shortRead(0) + shortRead(1));
            long standbyNanos = System.nanoTime();
            assertThat(call(fleet, "POST /standby")).isEqualTo("200");
            int served = 0;
            for (String line; (line = client.line()) != null; ) {
                // At 4 s no connection may be held with a request from the last 2 s.
                assertThat((System.nanoTime() - standbyNanos) / 1_000_000L).isLessThan(4000);
                if (line.startsWith("VA ")) {
                    assertThat(line).isEqualTo("VA 5 Oa" + served);
                    client.line();
                    served++;
                    client.send(shortRead(served + 1));
                }
            }
            assertThat(served).isPositive();
        }
    }

    /** Guards against the same with commands behind the requests in flight, which were lost when reading ended. */
    @Test
    void standbyAnswersCommandsBehindRequestsInFlight() throws Exception {
        int inFlight = 32;
        int behind = 8;
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                release.await();
                connection.send("VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
            }
        });
        try (Fleet fleet = fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < inFlight + behind; i++) {
                commands.append(Fleet.readCommand("a" + i));
            }
            client.send(commands.toString());
            fleet.awaitPendingRequests(inFlight);
            assertThat(call(fleet, "POST /standby")).isEqualTo("200");
            fleet.proxy.runAfter(2000, release::countDown); // when reading has ended
            for (int i = 0; i < inFlight; i++) {
                assertThat(client.line()).isEqualTo("VA 5 Oa" + i);
                assertThat(client.line()).isEqualTo("hello");
            }
            for (int i = 0; i < behind; i++) {
                assertThat(client.line()).isEqualTo("SERVER_ERROR busy");
            }
            assertThat(client.ended()).isTrue();
        }
    }

    /** A standby that is taken back ends no connection that was between its requests neither before nor after. */
    @Test
    void keepsBusyConnectionWhenStandbyIsTakenBack() throws Exception {
        CountDownLatch drainWouldBeOver = new CountDownLatch(1);
        try (Fleet fleet = withShortDeadlines(fleet())
                        .node(nodeThatIsOneAnswerBehind())
                        .start();
                Fleet.Client client = fleet.client()) {
            client.send(shortRead(0) + shortRead(1));
            assertThat(call(fleet, "POST /standby")).isEqualTo("200");
            assertThat(call(fleet, "POST /active")).isEqualTo("200");
            fleet.proxy.runAfter(2500, drainWouldBeOver::countDown);
            int served = 0;
            while (drainWouldBeOver.getCount() > 0) {
                assertThat(client.line()).isEqualTo("VA 5 Oa" + served);
                client.line();
                served++;
                client.send(shortRead(served + 1));
            }
            assertThat(client.line()).isEqualTo("VA 5 Oa" + served);
            try (Fleet.Client other = fleet.client()) {
                assertThat(other.send("mn\r\n").line()).isEqualTo("MN");
            }
        }
    }
}
