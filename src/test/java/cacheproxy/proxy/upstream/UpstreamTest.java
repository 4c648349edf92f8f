package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.policy.CarpHash;
import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.request.MetaCodec;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What cache nodes and the origin do to the proxy, on loopback sockets. */
class UpstreamTest {
    private static String hit(String command) {
        return "VA 5 O" + ScriptedServer.id(command) + " h1\r\nhello\r\n";
    }

    /** An origin that answers every request in this way. */
    private static ScriptedServer origin(int status, String headers, String body) throws Exception {
        return new ScriptedServer(c -> {
            while (c.request() != null) {
                c.sayHttp(status, headers, body);
            }
        });
    }

    private static String refused() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    void aMissIsFetchedFromTheOrigin() throws Exception {
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.id(line) + " h0\r\n");
        try (Fleet fleet =
                        new Fleet().node(node).origin(origin(200, "", "master")).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA 6 O1");
            assertThat(client.line()).isEqualTo("master");
        }
    }

    @Test
    void oneConnectionServesRequestAfterRequest() throws Exception {
        ScriptedServer node = ScriptedServer.node(UpstreamTest::hit);
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 5; i++) {
                client.read("a" + i);
                assertThat(client.line()).isEqualTo("VA 5 Oa" + i);
                client.line();
            }
            assertThat(node.accepted).hasSize(1);
        }
    }

    @Test
    void aNodeThatRefusesConnectionsOrTurnsAwayIsPassedOver() throws Exception {
        AtomicInteger busy = new AtomicInteger();
        ScriptedServer full = ScriptedServer.node(line -> {
            busy.incrementAndGet();
            return "SERVER_ERROR busy\r\n";
        });
        try (Fleet fleet = new Fleet()
                        .node(refused())
                        .node(full)
                        .node(ScriptedServer.node(UpstreamTest::hit))
                        .origin(origin(200, "", "fetch"))
                        .start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 30; i++) {
                client.say("mg " + Integer.toHexString(0x1000 + 7919 * i) + " v O" + i + " Pc=text,d=20000\r\n");
                assertThat(client.line()).isEqualTo("VA 5 O" + i);
                client.line();
            }
            assertThat(busy.get()).isPositive();
        }
    }

    /**
     * What a node does with a connection that it has no room for; the latch tells that the proxy has seen the end of
     * it.
     */
    private static ScriptedServer withoutRoom(CountDownLatch seen) throws Exception {
        return new ScriptedServer(c -> {
            c.command();
            c.say("SERVER_ERROR busy\r\n");
            c.socket.shutdownOutput();
            c.awaitEnd();
            seen.countDown();
        });
    }

    /** Each try would cost an attempt; want of room says nothing against the node, which would be left out for it. */
    @Test
    void aNodeWithoutRoomForAConnectionIsNotTriedAnewForEachRequestAndNotTakenForADeadOne() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        ScriptedServer full = withoutRoom(seen);
        long start = System.nanoTime();
        try (Fleet fleet =
                        new Fleet().node(full).origin(origin(200, "", "fetch")).start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 40; i++) {
                client.read("a" + i);
                assertThat(client.line()).isEqualTo("VA 5 Oa" + i);
                client.line();
                seen.await();
            }
            // Tries come 0.5, 1.5, 3.5, 7.5 s after the first and then every 4 s, however long this took.
            long most = 5 + (System.nanoTime() - start) / 4_000_000_000L;
            assertThat((long) full.accepted.size()).as("tries for 40 requests").isBetween(1L, most);
            assertThat(fleet.proxy.isHealthy(1)).isTrue();
        }
    }

    /** One connection a node is enough for short answers; behind a long one, they would wait for its client. */
    @Test
    void whereConnectionsAreShortALongAnswerStillKeepsNobodyWaiting() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        ScriptedServer sound = new ScriptedServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                if (!ScriptedServer.id(line).equals("long")) {
                    c.say(hit(line));
                    continue;
                }
                c.say("VA " + MetaCodec.MAX_VALUE_BYTES + " Olong h1\r\n");
                c.out.write(new byte[1000]);
                c.out.flush();
                rest.await();
                c.out.write(new byte[MetaCodec.MAX_VALUE_BYTES - 1000]);
                c.say("\r\n");
            }
        });
        try (Fleet fleet = new Fleet().node(withoutRoom(seen)).node(sound).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.say(read(keyOf(1), "first")).line();
            client.line();
            seen.await(); // from here on no node is to get a second connection
            client.say(read(keyOf(2), "long"));
            assertThat(client.line()).isEqualTo("VA " + MetaCodec.MAX_VALUE_BYTES + " Olong");
            assertThat(other.say(read(keyOf(2), "short")).line()).isEqualTo("VA 5 Oshort");
            rest.countDown();
            assertThat(client.bytes(MetaCodec.MAX_VALUE_BYTES)).hasSize(MetaCodec.MAX_VALUE_BYTES);
        }
    }

    /**
     * They keep others out where there is no room; one by one they would go only after they have stood idle for long.
     */
    @Test
    void whereConnectionsAreShortSecondOnesThatStandIdleAreClosed() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        CountDownLatch both = new CountDownLatch(2);
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedServer sound = new ScriptedServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                both.countDown();
                both.await();
                c.say(hit(line));
            }
            closed.countDown();
        });
        try (Fleet fleet = new Fleet().node(withoutRoom(seen)).node(sound).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.say(read(keyOf(2), "a"));
            other.say(read(keyOf(2), "b"));
            assertThat(client.line()).isEqualTo("VA 5 Oa");
            assertThat(other.line()).isEqualTo("VA 5 Ob");
            assertThat(sound.accepted).hasSize(2);
            client.line();
            client.say(read(keyOf(1), "c")).line();
            seen.await();
            assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
            client.line();
            assertThat(client.say(read(keyOf(2), "d")).line()).isEqualTo("VA 5 Od");
            assertThat(sound.accepted).hasSize(2);
        }
    }

    private static String read(int key, String id) {
        return "mg " + Integer.toHexString(key) + " v O" + id + " Pc=text,d=20000\r\n";
    }

    /** A key that belongs to this one of two nodes. */
    private static int keyOf(int node) {
        int key = 0x1000;
        while (score(key, node) < score(key, 3 - node)) {
            key++;
        }
        return key;
    }

    private static double score(int key, int node) {
        return CarpHash.score(CarpHash.keyHash(key), CarpHash.memberHash(node), 1);
    }

    @Test
    void anOriginThatRefusesConnectionsIsKnownAtOnceNotToHaveRunTheWrite() throws Exception {
        Fleet setup = new Fleet().node(ScriptedServer.node(UpstreamTest::hit));
        setup.hosts.add(Fleet.host("s-0000aaaa", "origin", refused(), "up"));
        try (Fleet fleet = setup.start();
                Fleet.Client client = fleet.client()) {
            // More than the connections that one server may have: a failed one must not keep its place.
            for (int i = 0; i < 60; i++) {
                client.say("ms 7f3a 5 O" + i + " Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).startsWith("SERVER_ERROR busy");
            }
        }
    }

    @Test
    void aRefusalTellsAtOnceWhenToComeBackWhereClientsMayKnow() throws Exception {
        for (boolean told : new boolean[] {true, false}) {
            Fleet setup = new Fleet().node(refused()).set("caps.retry-after", Boolean.toString(told));
            try (Fleet fleet = setup.start();
                    Fleet.Client client = fleet.client()) {
                client.read("1");
                assertThat(client.line()).matches(told ? "SERVER_ERROR busy [1-9]\\d{0,2}" : "SERVER_ERROR busy");
            }
        }
    }

    @Test
    void anUnsafeWriteWhoseLastByteWentOutIsNeverSentAgain() throws Exception {
        ScriptedServer origin = new ScriptedServer(c -> {
            c.request();
            c.reset();
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.say("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(client.say("mn\r\n").line()).isEqualTo("MN");
            assertThat(origin.commands).hasSize(1);
        }
    }

    @Test
    void garbageEndsTheAttemptAndTheConnection() throws Exception {
        for (String garbage : new String[] {
            "VA x O1\r\n", "VA 5 O7 h1\r\nhello\r\n", "VA 5 O1\r\nhelloXX", "\u0000\r\n", "HD O1 cx\r\n"
        }) {
            CountDownLatch ended = new CountDownLatch(1);
            ScriptedServer node = new ScriptedServer(c -> {
                c.command();
                c.say(garbage);
                c.awaitEnd();
                ended.countDown();
            });
            try (Fleet fleet = new Fleet()
                            .node(node)
                            .origin(origin(200, "", "fetch"))
                            .start();
                    Fleet.Client client = fleet.client()) {
                client.read("1");
                assertThat(client.line()).as(garbage).isEqualTo("VA 5 O1");
                assertThat(client.line()).isEqualTo("fetch");
                ended.await();
            }
        }
        for (String head : new String[] {
            "what?",
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1",
            "HTTP/1.1 2x0 OK\r\nContent-Length: 2",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nr1\r\nzz"
        }) {
            ScriptedServer broken = new ScriptedServer(c -> {
                c.request();
                c.say(head + "\r\n\r\nr1");
                c.awaitEnd();
            });
            try (Fleet fleet = new Fleet().origin(broken).start();
                    Fleet.Client client = fleet.client()) {
                client.say("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).as(head).isEqualTo("SERVER_ERROR failed");
            }
        }
    }

    @Test
    void whatStandsBehindAnAnswerIsNotTheNextRequestsAnswer() throws Exception {
        CountDownLatch missed = new CountDownLatch(2);
        CountDownLatch go = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                c.say("EN O" + ScriptedServer.id(line) + " h0\r\n");
                missed.countDown();
            }
        });
        ScriptedServer origin = new ScriptedServer(c -> {
            c.request();
            if (go.getCount() > 0) {
                go.await();
                c.say("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nwrong");
            } else {
                c.sayHttp(200, "", "right");
            }
            c.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.read("1");
            origin.next();
            other.read("2"); // waits for the fetch, and goes to the origin once that has failed
            missed.await();
            fleet.client().say("mn\r\n").line();
            go.countDown();
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(other.line()).isEqualTo("VA 5 O2");
            assertThat(other.line()).isEqualTo("right");
        }
    }

    @Test
    void anIdleConnectionThatTheNodeClosedIsNotWrittenTo() throws Exception {
        java.util.concurrent.Semaphore closed = new java.util.concurrent.Semaphore(0); // once for each connection
        ScriptedServer origin = new ScriptedServer(c -> {
            c.request();
            c.sayHttp(200, "", "r1");
            c.socket.close();
            closed.release();
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 3; i++) {
                client.say("ms 7f3a 5 O" + i + " Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).isEqualTo("HD O" + i + " cr1");
                closed.acquire();
                client.say("mn\r\n").line(); // the event loop has been round
            }
        }
    }

    @Test
    void anAttemptGoesToAnIdleConnectionAndElseBehindTheFewest() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch never = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                if (ScriptedServer.id(line).startsWith("held")) {
                    never.await();
                } else if (ScriptedServer.id(line).equals("first")) {
                    go.await();
                }
                c.say(hit(line));
            }
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.read("first");
            node.next();
            for (int i = 0; i < 3; i++) {
                fleet.client().read("held" + i);
                node.next();
            }
            assertThat(node.accepted).hasSize(4);
            go.countDown();
            assertThat(client.line()).isEqualTo("VA 5 Ofirst");
            client.line();
            for (int i = 0; i < 3; i++) { // the one that stands idle, not that opened last
                client.read("free" + i);
                assertThat(client.line()).isEqualTo("VA 5 Ofree" + i);
                client.line();
            }
            assertThat(node.accepted).hasSize(4);
            never.countDown();
        }
    }

    @Test
    void givingUpOneAttemptSparesTheOthersOnItsConnection() throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        ScriptedServer pipelined = new ScriptedServer(c -> {
            String first = c.command();
            String second = c.command();
            gone.await();
            c.say(hit(first) + hit(second));
            c.awaitEnd();
        });
        Fleet setup = new Fleet().node(pipelined).set("balancers", "60");
        try (Fleet fleet = setup.start();
                Fleet.Client other = fleet.client()) {
            Fleet.Client leaving = fleet.client();
            leaving.say("mg 7f3a v Oa Pc=text,d=20000\r\n");
            pipelined.next();
            other.say("mg 7f3b v Ob Pc=text,d=20000\r\n");
            pipelined.next();
            leaving.close();
            fleet.client().say("mn\r\n").line();
            gone.countDown();
            assertThat(other.line()).isEqualTo("VA 5 Ob");
        }
    }

    @Test
    void aSpellOfGivenUpAttemptsKeepsItsConnections() throws Exception {
        ScriptedServer node = new ScriptedServer(c -> {
            while (c.command() != null) {
                // never answered
            }
        });
        int clients = 300;
        try (Fleet fleet = new Fleet().node(node).start()) {
            for (int i = 0; i < clients; i++) {
                try (Fleet.Client client = fleet.client()) {
                    client.read("c" + i);
                    node.next();
                }
            }
            // Ten closes are free and ten come a second; without that bound nearly every one closes.
            assertThat(node.accepted.size()).isLessThan(clients / 2);
        }
    }

    @Test
    void anAnswerThatStopsInItsMiddleIsNotWaitedFor() throws Exception {
        CountDownLatch ended = new CountDownLatch(2);
        ScriptedServer node = new ScriptedServer(c -> {
            c.say("VA 5 O" + ScriptedServer.id(c.command()) + " h1\r\nhel");
            c.awaitEnd();
            ended.countDown();
        });
        ScriptedServer origin = new ScriptedServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.startsWith("PUT")) {
                    c.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nr");
                    c.awaitEnd();
                    ended.countDown();
                } else {
                    c.sayHttp(200, "", "fetch");
                }
            }
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            assertThat(client.line()).isEqualTo("fetch");
            client.say("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            ended.await();
        }
    }
}
