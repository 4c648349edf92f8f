package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.upstream.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests connections and deadlines that end while something is still pending. Scripted peers and a held event loop
 * enforce the order of events.
 */
@Timeout(20)
class EventOrderTest {
    /** Late responses have no value for this service class, so the rejection is sent at once, not at the deadline. */
    @Test
    void rejectsRequestAtOnceWhenLateResponseHasNoValue() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String line = connection.readCommand();
            late.await();
            connection.send("EN O" + ScriptedServer.requestId(line) + " h0\r\n");
            connection.awaitEnd();
        });
        ScriptedServer origin = new ScriptedServer(ScriptedServer.Connection::readRequest);
        try (Fleet fleet = new Fleet()
                        .node(node)
                        .origin(origin)
                        .set("classes.0.promise", "100.0")
                        .set("classes.0.late-share", "0.0")
                        .set("caps.second-copies", "false")
                        .set("caps.may-cancel", "false")
                        .start();
                Fleet.Client client = fleet.client()) {
            client.socket.setSoTimeout(15_000); // its deadline is 20 s
            client.read("1");
            node.awaitCommand();
            CountDownLatch over = new CountDownLatch(1);
            fleet.proxy.runAfter(150, over::countDown);
            over.await();
            late.countDown();
            assertThat(client.line()).startsWith("SERVER_ERROR busy");
            assertThat(origin.commands).isEmpty();
        }
    }

    /**
     * The body ends with the connection, which the proxy itself closes: the received part is not the complete value.
     */
    @Test
    void doesNotServeStalledBodyOfUnknownLength() throws Exception {
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.requestId(line) + " h0\r\n");
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 X\r\n\r\nhal");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).startsWith("SERVER_ERROR");
        }
    }

    /**
     * The first attempt may have been processed, as its connection is reset after its last byte. The retry waits for a
     * connection that is established after the window in which the server drops duplicates.
     */
    @Test
    void doesNotSendRetryAfterDeduplicationWindow() throws Exception {
        for (boolean letIn : new boolean[] {false, true}) {
            try (BackloggedServer origin = new BackloggedServer();
                    Fleet fleet = new Fleet()) {
                fleet.hosts.add(Fleet.host("s-0000aaaa", "origin", origin.dial(), "up"));
                fleet.set("caps.connect-timeout", "20000.0")
                        .set("classes.2.window", "400.0")
                        .start();
                try (Fleet.Client client = fleet.client()) {
                    client.send("ms 7f3a 5 O1 Pc=publish,d=20000,k=0123456789abcdef\r\nhello\r\n");
                    ScriptedServer.Connection first = origin.acceptNext();
                    assertThat(BackloggedServer.readRequestHead(first)).startsWith("PUT");
                    origin.fillAcceptQueue();
                    first.reset();
                    assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
                    if (letIn) { // the retry's connection is established all the same
                        try (Fleet.Client other = fleet.client()) {
                            other.send("ms 7f3b 5 O2 Pc=fix,d=20000\r\nhello\r\n");
                            assertThat(ScriptedServer.requestId(BackloggedServer.readRequestHead(origin.acceptNext())))
                                    .isEqualTo("2");
                        }
                    }
                }
            }
        }
    }

    /** If a request crosses the close of the connection, it would be unknown whether the server has processed it. */
    @Test
    void doesNotUseConnectionThatServerIsAboutToCloseAsIdle() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        ScriptedServer origin = new ScriptedServer(connection -> {
            int number = connections.incrementAndGet();
            while (connection.readRequest() != null) {
                connection.sendHttp(200, "", "c" + number);
            }
        });
        try (Fleet fleet = new Fleet()
                        .origin(origin)
                        .set("caps.idle-close", "1000.0")
                        .start();
                Fleet.Client client = fleet.client()) {
            client.send("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("HD O1 cc1");
            CountDownLatch aged = new CountDownLatch(1);
            fleet.proxy.runAfter(800, aged::countDown);
            aged.await();
            client.send("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("HD O2 cc2");
        }
    }

    /** The next command has arrived but has not been read: it is answered, and the connection ends without a reset. */
    @Test
    void answersUnreadCommandBeforeConnectionIsEvictedRightAfterResponse() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String line = connection.readCommand();
            if (ScriptedServer.requestId(line).equals("b0")) {
                answer.await();
                connection.send(CacheResponses.hit(line));
                answered.countDown();
            }
            connection.awaitEnd();
        });
        Fleet setup = new Fleet().node(node).set("caps.second-copies", "false").set("caps.may-cancel", "false");
        com.google.gson.JsonObject limits = new com.google.gson.JsonObject();
        limits.addProperty("sockets", 96); // sixteen client connections
        setup.config.add("limits", limits);
        try (Fleet fleet = setup.start()) {
            List<Fleet.Client> busy = new ArrayList<>();
            for (int i = 0; i < 17; i++) { // one more than the limit
                busy.add(fleet.client());
                busy.get(i).send("mg " + i + " v Ob" + i + " Pc=text,d=20000\r\n");
            }
            fleet.awaitPendingRequests(17);
            CountDownLatch resume = fleet.holdEventLoop();
            answer.countDown();
            answered.await();
            busy.get(0).send("mn\r\n");
            resume.countDown();
            assertThat(busy.get(0).line()).isEqualTo("VA 5 Ob0");
            assertThat(busy.get(0).line()).isEqualTo("hello");
            assertThat(busy.get(0).line()).isEqualTo("MN");
            assertThat(busy.get(0).ended()).as("no reset").isTrue();
            busy.get(0).close();
            try (Fleet.Client next = fleet.client()) { // the limit admits another client again
                assertThat(next.send("mn\r\n").line()).isEqualTo("MN");
            }
        }
    }

    /**
     * The duplicate arrives after the next request has been sent, and responses of the origin have no id. A round
     * counts only if it took less time than the delay before a connection is reused; the first such round decides.
     */
    @Test
    void doesNotTakeDuplicateOriginResponseForNextRequestsResponse() throws Exception {
        String response = null;
        for (int round = 0; round < 100 && response == null; round++) {
            response = responseAfterDuplicate();
        }
        assertThat(response).isEqualTo("HD O2 csecond");
    }

    /** The response to the request after a response that is duplicated; null if the round took too long to count. */
    private static String responseAfterDuplicate() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        AtomicInteger connections = new AtomicInteger();
        ScriptedServer origin = new ScriptedServer(connection -> {
            if (connections.incrementAndGet() == 1) {
                connection.readRequest();
                answer.await();
                connection.sendHttp(200, "", "first");
                answered.countDown();
                connection.readRequest();
                connection.sendHttp(200, "", "first");
            } else {
                connection.readRequest();
                connection.sendHttp(200, "", "second");
            }
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client one = fleet.client();
                Fleet.Client two = fleet.client()) {
            assertThat(two.send("mn\r\n").line()).isEqualTo("MN");
            one.send("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            origin.awaitCommand();
            CountDownLatch resume = fleet.holdEventLoop();
            answer.countDown();
            answered.await();
            two.send("ms 7f3b 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            long began = System.nanoTime();
            resume.countDown();
            String other = two.line();
            boolean quick = System.nanoTime() - began < Upstream.REUSE_DELAY_MS * 1e6;
            assertThat(one.line()).isEqualTo("HD O1 cfirst");
            return quick ? other : null;
        }
    }
}
