package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.upstream.Upstream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Ends at the instant in which something is still owed: the order is made to happen by scripted peers and a loop that
 * is held.
 */
@Timeout(20)
class EndingsTest {
    private static String hit(String command) {
        return "VA 5 O" + ScriptedServer.id(command) + " h1\r\nhello\r\n";
    }

    /**
     * A server whose connections come up only once they are let in: its queue of those not accepted is full until then.
     */
    private static final class LateServer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> fill = new ArrayList<>();

        LateServer() throws IOException {
            fillUp();
        }

        void fillUp() throws IOException {
            for (boolean full = false; !full; ) {
                Socket s = new Socket();
                try {
                    s.connect(server.getLocalSocketAddress(), 200);
                    fill.add(s);
                } catch (java.net.SocketTimeoutException e) {
                    s.close();
                    full = true;
                }
            }
        }

        String dial() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Lets the connections in that wait, and takes the first of the proxy's. */
        ScriptedServer.Connection letIn() throws IOException {
            Set<Integer> ours = new HashSet<>();
            fill.forEach(s -> ours.add(s.getLocalPort()));
            Socket proxys = server.accept();
            while (ours.contains(proxys.getPort())) {
                proxys.close();
                proxys = server.accept();
            }
            proxys.setSoTimeout(20_000);
            return new ScriptedServer.Connection(proxys, null);
        }

        @Override
        public void close() throws IOException {
            for (Socket s : fill) {
                s.close();
            }
            server.close();
        }
    }

    /** Until the proxy has seen what its peers did; the test's time limit interrupts it. */
    private static void awaitInHand(Fleet fleet, int n) {
        for (int now; (now = fleet.proxy.pendingRequests()) != n; ) {
            assertThat(Thread.interrupted())
                    .as("time is over with %s requests in hand, not %s", now, n)
                    .isFalse();
        }
    }

    /** Where attempts may not be called off too: what has not begun is no attempt yet. */
    @Test
    void whatWaitsForAConnectionThatIsNotUpIsNotSentOnceItsClientHasLeft() throws Exception {
        for (String mayCancel : new String[] {"false", "true"}) {
            try (LateServer node = new LateServer();
                    Fleet fleet = new Fleet()
                            .node(node.dial())
                            .set("caps.may-cancel", mayCancel)
                            .set("caps.connect-timeout", "20000.0")
                            .set("caps.second-copies", "false")
                            .start()) {
                Fleet.Client client = fleet.client();
                client.read("left");
                awaitInHand(fleet, 1);
                client.close();
                awaitInHand(fleet, 0);
                ScriptedServer.Connection up = node.letIn();
                try (Fleet.Client other = fleet.client()) {
                    other.read("stays");
                    assertThat(ScriptedServer.id(up.line()))
                            .as("may cancel: " + mayCancel)
                            .isEqualTo("stays");
                    up.say(hit("mg 1 v Ostays"));
                    assertThat(other.line()).isEqualTo("VA 5 Ostays");
                }
            }
        }
    }

    /**
     * The fetch that waits for its connection is its client's; those who wait for its outcome are served under an id
     * that is wanted.
     */
    @Test
    void aFetchThatOthersWaitForGoesOnUnderTheIdOfOneThatStays() throws Exception {
        ScriptedServer node = missesAllBut("turn");
        try (LateServer origin = new LateServer();
                Fleet fleet = fleetOf(node, origin.dial());
                Fleet.Client stays = fleet.client();
                Fleet.Client turn = fleet.client()) {
            Fleet.Client leaves = fleet.client();
            leaves.read("leaves");
            node.next();
            stays.read("stays");
            node.next();
            turn.say("mg 1 v Oturn Pc=text,d=20000\r\n")
                    .line(); // both misses have been heard by now, as answers come in order
            leaves.close();
            awaitInHand(fleet, 1);
            ScriptedServer.Connection up = origin.letIn();
            assertThat(ScriptedServer.id(request(up))).isEqualTo("stays");
            up.sayHttp(200, "", "fetch");
            assertThat(stays.line()).isEqualTo("VA 5 Ostays");
        }
    }

    private static ScriptedServer missesAllBut(String id) throws IOException {
        return ScriptedServer.node(
                line -> ScriptedServer.id(line).equals(id) ? hit(line) : "EN O" + ScriptedServer.id(line) + " h0\r\n");
    }

    private static Fleet fleetOf(ScriptedServer node, String origin) throws Exception {
        Fleet fleet = new Fleet().node(node).set("caps.connect-timeout", "20000.0");
        fleet.hosts.add(Fleet.host("s-0000aaaa", "origin", origin, "up"));
        return fleet.start();
    }

    private static String request(ScriptedServer.Connection c) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line = c.line(); !line.isEmpty(); line = c.line()) {
            text.append(line).append('\n');
        }
        return text.toString();
    }

    /** Else those who wait for it would wait for an origin that is silent, as long as they may. */
    @Test
    void aFetchThatOthersWaitForEndsAtItsOwnDeadlineThoughItsClientHasLeft() throws Exception {
        ScriptedServer node = missesAllBut("turn");
        ScriptedServer origin = new ScriptedServer(c -> {
            for (String r; (r = c.request()) != null; ) {
                if (ScriptedServer.id(r).equals("stays")) {
                    c.sayHttp(200, "", "fetch");
                }
            }
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client stays = fleet.client();
                Fleet.Client turn = fleet.client()) {
            Fleet.Client leaves = fleet.client();
            leaves.say("mg 7f3a9c21e0b4d655 v Oleaves Pc=text,d=1000\r\n");
            assertThat(ScriptedServer.id(origin.next())).isEqualTo("leaves");
            stays.read("stays");
            node.next();
            node.next();
            turn.say("mg 1 v Oturn Pc=text,d=20000\r\n").line();
            leaves.close();
            assertThat(ScriptedServer.id(origin.next())).isEqualTo("stays");
            assertThat(stays.line()).isEqualTo("VA 5 Ostays");
        }
    }

    /** A busy loop finds the command and the client's end together: nobody waits for it any more. */
    @Test
    void aCommandThatIsReadWithItsClientsEndIsNotSentOn() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            AtomicInteger connections = new AtomicInteger();
            ScriptedServer node = new ScriptedServer(c -> {
                int number = connections.incrementAndGet();
                for (String line; (line = c.command()) != null; ) {
                    c.say("VA 1 O" + ScriptedServer.id(line) + " h1\r\n" + number + "\r\n");
                }
            });
            try (Fleet fleet = new Fleet().node(node).start();
                    Fleet.Client other = fleet.client()) {
                other.read("first"); // from now on there is a connection on which what is sent goes out at once
                other.line();
                assertThat(other.line()).isEqualTo("1");
                Fleet.Client leaves = fleet.client();
                leaves.say("mn\r\n").line(); // accepted, and known to the loop
                CountDownLatch go = fleet.hold();
                leaves.read("left").say("ms 7f3a 5 Oput Pc=fix,d=20000\r\nhello\r\n");
                if (reset) {
                    leaves.socket.setSoLinger(true, 0);
                }
                leaves.close();
                go.countDown();
                awaitInHand(fleet, 0);
                other.read("stays");
                assertThat(other.line()).isEqualTo("VA 1 Ostays");
                assertThat(other.line())
                        .as("what was sent for nobody would have taken the first connection")
                        .isEqualTo("1");
                assertThat(node.commands).as("reset: " + reset).hasSize(2).noneMatch(c -> c.contains("Oleft"));
            }
        }
    }

    /**
     * Its connection is not read on at 32 commands in hand; its end is seen all the same, and what stands behind is
     * never begun.
     */
    @Test
    void theEndOfAClientThatIsNotReadIsSeen() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        ScriptedServer node = new ScriptedServer(c -> {
            while (c.command() != null) {
                asked.incrementAndGet();
            }
        });
        try (Fleet fleet = new Fleet().node(node).start()) {
            for (boolean reset : new boolean[] {false, true}) {
                Fleet.Client client = fleet.client();
                StringBuilder many = new StringBuilder();
                for (int i = 0; i < 64; i++) {
                    many.append("mg k")
                            .append(i)
                            .append(" v O")
                            .append(reset)
                            .append(i)
                            .append(" Pc=text,d=20000\r\n");
                }
                client.say(many.toString());
                awaitInHand(fleet, 32);
                if (reset) {
                    client.socket.setSoLinger(true, 0);
                }
                client.close();
                awaitInHand(fleet, 0);
            }
            assertThat(asked.get()).isLessThanOrEqualTo(2 * 2 * 32); // a silent node gets a second copy of some
        }
    }

    /** A late answer is worth nothing in such a class: who waits for it is told so at once, not at the deadline. */
    @Test
    void aRequestThatIsWorthNothingAnyMoreIsRefusedAtOnce() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(c -> {
            String line = c.command();
            late.await();
            c.say("EN O" + ScriptedServer.id(line) + " h0\r\n");
            c.awaitEnd();
        });
        ScriptedServer origin = new ScriptedServer(ScriptedServer.Connection::request);
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
            node.next();
            CountDownLatch over = new CountDownLatch(1);
            fleet.proxy.runAfter(150, over::countDown);
            over.await();
            late.countDown();
            assertThat(client.line()).startsWith("SERVER_ERROR busy");
            assertThat(origin.commands).isEmpty();
        }
    }

    /** The body's end is the connection's, and it is we who end that: what has come is not the value. */
    @Test
    void aBodyWithoutLengthThatStopsInItsMiddleIsNoAnswer() throws Exception {
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.id(line) + " h0\r\n");
        ScriptedServer origin = new ScriptedServer(c -> {
            c.request();
            c.say("HTTP/1.1 200 X\r\n\r\nhal");
            c.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).startsWith("SERVER_ERROR");
        }
    }

    /**
     * A connection reset after the last byte: it may have run. Its repeat waits for a dial that comes up after the
     * window.
     */
    @Test
    void aRepeatThatWaitsPastItsWindowIsNotSent() throws Exception {
        for (boolean letIn : new boolean[] {false, true}) {
            try (LateServer origin = new LateServer();
                    Fleet fleet = new Fleet()) {
                fleet.hosts.add(Fleet.host("s-0000aaaa", "origin", origin.dial(), "up"));
                fleet.set("caps.connect-timeout", "20000.0")
                        .set("classes.2.window", "400.0")
                        .start();
                try (Fleet.Client client = fleet.client()) {
                    client.say("ms 7f3a 5 O1 Pc=publish,d=20000,k=0123456789abcdef\r\nhello\r\n");
                    ScriptedServer.Connection first = origin.letIn();
                    assertThat(request(first)).startsWith("PUT");
                    origin.fillUp();
                    first.reset();
                    assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
                    if (letIn) { // its dial comes up all the same
                        try (Fleet.Client other = fleet.client()) {
                            other.say("ms 7f3b 5 O2 Pc=fix,d=20000\r\nhello\r\n");
                            assertThat(ScriptedServer.id(request(origin.letIn())))
                                    .isEqualTo("2");
                        }
                    }
                }
            }
        }
    }

    /** A node that closes what has been idle for long takes what crosses it for nothing, and nobody could tell. */
    @Test
    void aConnectionThatIsAboutToBeClosedForItsAgeIsNotUsed() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        ScriptedServer origin = new ScriptedServer(c -> {
            int number = connections.incrementAndGet();
            while (c.request() != null) {
                c.sayHttp(200, "", "c" + number);
            }
        });
        try (Fleet fleet = new Fleet()
                        .origin(origin)
                        .set("caps.idle-close", "1000.0")
                        .start();
                Fleet.Client client = fleet.client()) {
            client.say("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("HD O1 cc1");
            CountDownLatch aged = new CountDownLatch(1);
            fleet.proxy.runAfter(800, aged::countDown);
            aged.await();
            client.say("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("HD O2 cc2");
        }
    }

    /**
     * The platform waits 3.7 s at most before it kills a process that was told to end, also where a class may wait for
     * longer.
     */
    @Test
    void whatMayWaitLongerThanThePlatformIsAnsweredBeforeTheProcessEnds() throws Exception {
        ScriptedServer silent = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        ScriptedServer origin = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        try (Fleet fleet = new Fleet().node(silent).origin(origin).start();
                Fleet.Client reads = fleet.client();
                Fleet.Client writes = fleet.client()) {
            reads.read("1");
            writes.say("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            awaitInHand(fleet, 2);
            Thread drain = new Thread(fleet.proxy::drain);
            drain.start();
            assertThat(reads.line()).startsWith("SERVER_ERROR busy");
            assertThat(writes.line()).isEqualTo("SERVER_ERROR failed"); // it may have run
            assertThat(reads.ended()).isTrue();
            reads.close();
            writes.close();
            drain.join();
        }
    }

    /** It never stands between two requests, where connections end; and what it asks last is answered or not taken. */
    @Test
    void aClientThatAlwaysHasARequestOutIsLetGoBeforeTheProcessEnds() throws Exception {
        BlockingQueue<Runnable> owed = new LinkedBlockingQueue<>();
        ScriptedServer node = new ScriptedServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                String answer = hit(line);
                owed.add(() -> sayQuietly(c, answer));
                if (owed.size() > 1) {
                    owed.take().run(); // one answer for each further command: one is owed at all times
                }
            }
        });
        try (Fleet fleet = new Fleet()
                        .node(node)
                        .set("caps.second-copies", "false")
                        .set("caps.may-cancel", "false")
                        .start();
                Fleet.Client client = fleet.client()) {
            client.read("a0").read("a1");
            Thread drain = new Thread(fleet.proxy::drain);
            drain.start();
            int answers = 0;
            int refused = 0;
            for (String line; (line = client.line()) != null; ) {
                if (line.startsWith("VA ")) {
                    answers++;
                    client.read("a" + (answers + 1));
                } else if (line.startsWith("SERVER_ERROR busy")) {
                    refused++;
                }
            }
            client.close();
            drain.join();
            assertThat(refused).isBetween(1, 2);
            assertThat(node.commands).as("what was sent on").hasSize(answers + refused);
        }
    }

    private static void sayQuietly(ScriptedServer.Connection c, String text) {
        try {
            c.say(text);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Its answer has just gone out, and the next command has come and is not read: a close then would be a reset. */
    @Test
    void aConnectionThatMakesRoomRightAfterItsAnswerEndsWithoutAReset() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(c -> {
            String line = c.command();
            if (ScriptedServer.id(line).equals("b0")) {
                answer.await();
                c.say(hit(line));
                answered.countDown();
            }
            c.awaitEnd();
        });
        Fleet setup = new Fleet().node(node).set("caps.second-copies", "false").set("caps.may-cancel", "false");
        com.google.gson.JsonObject limits = new com.google.gson.JsonObject();
        limits.addProperty("sockets", 96); // sixteen clients
        setup.config.add("limits", limits);
        try (Fleet fleet = setup.start()) {
            List<Fleet.Client> busy = new ArrayList<>();
            for (int i = 0; i < 17; i++) { // one more than there is room for
                busy.add(fleet.client());
                busy.get(i).say("mg " + i + " v Ob" + i + " Pc=text,d=20000\r\n");
            }
            awaitInHand(fleet, 17);
            CountDownLatch go = fleet.hold();
            answer.countDown();
            answered.await();
            busy.get(0).read("crosses");
            go.countDown();
            assertThat(busy.get(0).line()).isEqualTo("VA 5 Ob0");
            assertThat(busy.get(0).line()).isEqualTo("hello");
            assertThat(busy.get(0).ended()).as("no reset").isTrue();
            busy.get(0).close();
            try (Fleet.Client next = fleet.client()) { // there is room again for sixteen, and one who comes is heard
                assertThat(next.say("mn\r\n").line()).isEqualTo("MN");
            }
        }
    }

    /**
     * Its second copy comes when the next request has gone out, and bears no id: nothing may be told from it. A round
     * says something if all of it took less than a connection rests, so the first such is the verdict; those before it
     * are not looked at.
     */
    @Test
    void aSecondCopyOfTheOriginsAnswerIsNotTheNextRequestsAnswer() throws Exception {
        String second = null;
        for (int round = 0; round < 100 && second == null; round++) {
            second = secondCopy();
        }
        assertThat(second).isEqualTo("HD O2 csecond");
    }

    /** What the request behind an answer gets whose copy is still to come; null where it came too late to tell. */
    private static String secondCopy() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        AtomicInteger connections = new AtomicInteger();
        ScriptedServer origin = new ScriptedServer(c -> {
            if (connections.incrementAndGet() == 1) {
                c.request();
                answer.await();
                c.sayHttp(200, "", "first");
                answered.countDown();
                c.request();
                c.sayHttp(200, "", "first");
            } else {
                c.request();
                c.sayHttp(200, "", "second");
            }
            c.awaitEnd();
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client one = fleet.client();
                Fleet.Client two = fleet.client()) {
            assertThat(two.say("mn\r\n").line()).isEqualTo("MN");
            one.say("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            origin.next();
            CountDownLatch go = fleet.hold();
            answer.countDown();
            answered.await();
            two.say("ms 7f3b 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            long began = System.nanoTime();
            go.countDown();
            String other = two.line();
            boolean quick = System.nanoTime() - began < Upstream.REST_MS * 1e6;
            assertThat(one.line()).isEqualTo("HD O1 cfirst");
            return quick ? other : null;
        }
    }
}
