package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.policy.CarpHash;
import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.RefusingAddress;
import cacheproxy.proxy.request.MetaCodec;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests how the proxy handles the behaviour of cache servers and the origin, on loopback sockets. */
class UpstreamTest {
    private static String hit(String command) {
        return "VA 5 O" + ScriptedServer.requestId(command) + " h1\r\nhello\r\n";
    }

    /** An origin that sends this response to every request. */
    private static ScriptedServer origin(int status, String headers, String body) throws Exception {
        return new ScriptedServer(connection -> {
            while (connection.readRequest() != null) {
                connection.sendHttp(status, headers, body);
            }
        });
    }

    @Test
    void fetchesMissFromOrigin() throws Exception {
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.requestId(line) + " h0\r\n");
        try (Fleet fleet =
                        new Fleet().node(node).origin(origin(200, "", "master")).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA 6 O1");
            assertThat(client.line()).isEqualTo("master");
        }
    }

    @Test
    void reusesConnectionForSuccessiveRequests() throws Exception {
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
    void skipsServerThatRefusesConnectionsOrRequests() throws Exception {
        AtomicInteger busy = new AtomicInteger();
        ScriptedServer full = ScriptedServer.node(line -> {
            busy.incrementAndGet();
            return "SERVER_ERROR busy\r\n";
        });
        try (RefusingAddress refusing = new RefusingAddress();
                Fleet fleet = new Fleet()
                        .node(refusing.dial())
                        .node(full)
                        .node(ScriptedServer.node(UpstreamTest::hit))
                        .origin(origin(200, "", "fetch"))
                        .start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 30; i++) {
                client.send("mg " + Integer.toHexString(0x1000 + 7919 * i) + " v O" + i + " Pc=text,d=20000\r\n");
                assertThat(client.line()).isEqualTo("VA 5 O" + i);
                client.line();
            }
            assertThat(busy.get()).isPositive();
        }
    }

    /**
     * A node that rejects each connection for lack of capacity. The latch is counted down when the proxy has seen the
     * end of a connection.
     */
    private static ScriptedServer withoutCapacity(CountDownLatch seen) throws Exception {
        return new ScriptedServer(connection -> {
            connection.readCommand();
            connection.send("SERVER_ERROR busy\r\n");
            connection.socket.shutdownOutput();
            connection.awaitEnd();
            seen.countDown();
        });
    }

    /**
     * Guards against a node without connection capacity costing an attempt for each new connection, and against its
     * being taken for unhealthy, which would exclude it.
     */
    @Test
    void backsOffFromServerWithoutConnectionCapacityWithoutTakingItForDown() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        ScriptedServer full = withoutCapacity(seen);
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
            // New connections are tried 0.5, 1.5, 3.5 and 7.5 s after the first one and then every 4 s, however long
            // the test took.
            long most = 5 + (System.nanoTime() - start) / 4_000_000_000L;
            assertThat((long) full.accepted.size())
                    .as("connections for 40 requests")
                    .isBetween(1L, most);
            assertThat(fleet.proxy.isHealthy(1)).isTrue();
        }
    }

    /**
     * One connection per node is enough for short responses; behind a long value, they would wait for the client that
     * reads it.
     */
    @Test
    void opensAnotherConnectionBesideLongValueDuringConnectionShortage() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        ScriptedServer healthy = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                if (!ScriptedServer.requestId(line).equals("long")) {
                    connection.send(hit(line));
                    continue;
                }
                connection.send("VA " + MetaCodec.MAX_VALUE_BYTES + " Olong h1\r\n");
                connection.out.write(new byte[1000]);
                connection.out.flush();
                rest.await();
                connection.out.write(new byte[MetaCodec.MAX_VALUE_BYTES - 1000]);
                connection.send("\r\n");
            }
        });
        try (Fleet fleet = new Fleet().node(withoutCapacity(seen)).node(healthy).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.send(read(keyOf(1), "first")).line();
            client.line();
            seen.await(); // from here on no node gets a second connection for short responses
            client.send(read(keyOf(2), "long"));
            assertThat(client.line()).isEqualTo("VA " + MetaCodec.MAX_VALUE_BYTES + " Olong");
            assertThat(other.send(read(keyOf(2), "short")).line()).isEqualTo("VA 5 Oshort");
            rest.countDown();
            assertThat(client.bytes(MetaCodec.MAX_VALUE_BYTES)).hasSize(MetaCodec.MAX_VALUE_BYTES);
        }
    }

    /**
     * Guards against spare idle connections that take capacity from other proxies during a shortage: otherwise they
     * would be closed only after a long idle time.
     */
    @Test
    void closesSpareIdleConnectionsDuringConnectionShortage() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        CountDownLatch both = new CountDownLatch(2);
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedServer healthy = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                both.countDown();
                both.await();
                connection.send(hit(line));
            }
            closed.countDown();
        });
        try (Fleet fleet = new Fleet().node(withoutCapacity(seen)).node(healthy).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.send(read(keyOf(2), "a"));
            other.send(read(keyOf(2), "b"));
            assertThat(client.line()).isEqualTo("VA 5 Oa");
            assertThat(other.line()).isEqualTo("VA 5 Ob");
            assertThat(healthy.accepted).hasSize(2);
            client.line();
            client.send(read(keyOf(1), "c")).line();
            seen.await();
            assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
            client.line();
            assertThat(client.send(read(keyOf(2), "d")).line()).isEqualTo("VA 5 Od");
            assertThat(healthy.accepted).hasSize(2);
        }
    }

    private static String read(int key, String id) {
        return "mg " + Integer.toHexString(key) + " v O" + id + " Pc=text,d=20000\r\n";
    }

    /** A key that is placed on this one of two nodes. */
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
    void reportsWriteAsNotProcessedWhenOriginRefusesConnections() throws Exception {
        Fleet setup = new Fleet().node(ScriptedServer.node(UpstreamTest::hit));
        RefusingAddress refusing = new RefusingAddress();
        setup.hosts.add(Fleet.host("s-0000aaaa", "origin", refusing.dial(), "up"));
        try (refusing;
                Fleet fleet = setup.start();
                Fleet.Client client = fleet.client()) {
            // More requests than connections to one server are allowed: a failed connection must not stay counted.
            for (int i = 0; i < 60; i++) {
                client.send("ms 7f3a 5 O" + i + " Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).startsWith("SERVER_ERROR busy");
            }
        }
    }

    @Test
    void includesRetryAdviceInRejectionWhereEnabled() throws Exception {
        for (boolean enabled : new boolean[] {true, false}) {
            RefusingAddress refusing = new RefusingAddress();
            Fleet setup = new Fleet().node(refusing.dial()).set("caps.retry-after", Boolean.toString(enabled));
            try (refusing;
                    Fleet fleet = setup.start();
                    Fleet.Client client = fleet.client()) {
                client.read("1");
                assertThat(client.line()).matches(enabled ? "SERVER_ERROR busy [1-9]\\d{0,2}" : "SERVER_ERROR busy");
            }
        }
    }

    @Test
    void neverRetriesUnsafeWriteWhoseLastByteWasWritten() throws Exception {
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.reset();
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.send("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(client.send("mn\r\n").line()).isEqualTo("MN");
            assertThat(origin.commands).hasSize(1);
        }
    }

    @Test
    void closesConnectionAndEndsAttemptOnProtocolError() throws Exception {
        for (String garbage : new String[] {
            "VA x O1\r\n", "VA 5 O7 h1\r\nhello\r\n", "VA 5 O1\r\nhelloXX", "\u0000\r\n", "HD O1 cx\r\n"
        }) {
            CountDownLatch ended = new CountDownLatch(1);
            ScriptedServer node = new ScriptedServer(connection -> {
                connection.readCommand();
                connection.send(garbage);
                connection.awaitEnd();
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
            ScriptedServer broken = new ScriptedServer(connection -> {
                connection.readRequest();
                connection.send(head + "\r\n\r\nr1");
                connection.awaitEnd();
            });
            try (Fleet fleet = new Fleet().origin(broken).start();
                    Fleet.Client client = fleet.client()) {
                client.send("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).as(head).isEqualTo("SERVER_ERROR failed");
            }
        }
    }

    @Test
    void doesNotTakeSurplusInputForNextResponse() throws Exception {
        CountDownLatch missed = new CountDownLatch(2);
        CountDownLatch mayRespond = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                connection.send("EN O" + ScriptedServer.requestId(line) + " h0\r\n");
                missed.countDown();
            }
        });
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            if (mayRespond.getCount() > 0) {
                mayRespond.await();
                connection.send(
                        "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nwrong");
            } else {
                connection.sendHttp(200, "", "right");
            }
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.read("1");
            origin.awaitCommand();
            other.read("2"); // waits for the pending fetch, and goes to the origin after that has failed
            missed.await();
            fleet.client().send("mn\r\n").line();
            mayRespond.countDown();
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(other.line()).isEqualTo("VA 5 O2");
            assertThat(other.line()).isEqualTo("right");
        }
    }

    @Test
    void doesNotWriteToIdleConnectionClosedByServer() throws Exception {
        java.util.concurrent.Semaphore closed =
                new java.util.concurrent.Semaphore(0); // released released once for each connection
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.sendHttp(200, "", "r1");
            connection.socket.close();
            closed.release();
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            for (int i = 0; i < 3; i++) {
                client.send("ms 7f3a 5 O" + i + " Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).isEqualTo("HD O" + i + " cr1");
                closed.acquire();
                client.send("mn\r\n").line(); // the event loop has completed a turn
            }
        }
    }

    @Test
    void sendsAttemptOnIdleConnectionOrBehindFewestAttempts() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        CountDownLatch never = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                if (ScriptedServer.requestId(line).startsWith("held")) {
                    never.await();
                } else if (ScriptedServer.requestId(line).equals("first")) {
                    mayRespond.await();
                }
                connection.send(hit(line));
            }
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client client = fleet.client()) {
            client.read("first");
            node.awaitCommand();
            for (int i = 0; i < 3; i++) {
                fleet.client().read("held" + i);
                node.awaitCommand();
            }
            assertThat(node.accepted).hasSize(4);
            mayRespond.countDown();
            assertThat(client.line()).isEqualTo("VA 5 Ofirst");
            client.line();
            for (int i = 0; i < 3; i++) { // the idle connection, not the one opened last
                client.read("free" + i);
                assertThat(client.line()).isEqualTo("VA 5 Ofree" + i);
                client.line();
            }
            assertThat(node.accepted).hasSize(4);
            never.countDown();
        }
    }

    @Test
    void keepsOtherAttemptsOnConnectionOfAbandonedAttempt() throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        ScriptedServer pipelined = new ScriptedServer(connection -> {
            String first = connection.readCommand();
            String second = connection.readCommand();
            gone.await();
            connection.send(hit(first) + hit(second));
            connection.awaitEnd();
        });
        Fleet setup = new Fleet().node(pipelined).set("balancers", "60");
        try (Fleet fleet = setup.start();
                Fleet.Client other = fleet.client()) {
            Fleet.Client leaving = fleet.client();
            leaving.send("mg 7f3a v Oa Pc=text,d=20000\r\n");
            pipelined.awaitCommand();
            other.send("mg 7f3b v Ob Pc=text,d=20000\r\n");
            pipelined.awaitCommand();
            leaving.close();
            fleet.client().send("mn\r\n").line();
            gone.countDown();
            assertThat(other.line()).isEqualTo("VA 5 Ob");
        }
    }

    @Test
    void keepsConnectionsWhenManyAttemptsAreAbandoned() throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            while (connection.readCommand() != null) {
                // never responds
            }
        });
        int clients = 300;
        try (Fleet fleet = new Fleet().node(node).start()) {
            for (int i = 0; i < clients; i++) {
                try (Fleet.Client client = fleet.client()) {
                    client.read("c" + i);
                    node.awaitCommand();
                }
            }
            // Ten closes are allowed at once and ten more each second; without that limit, nearly every abandoned
            // attempt would close its connection.
            assertThat(node.accepted.size()).isLessThan(clients / 2);
        }
    }

    @Test
    void endsAttemptWhoseResponseStopsInItsMiddle() throws Exception {
        CountDownLatch ended = new CountDownLatch(2);
        ScriptedServer node = new ScriptedServer(connection -> {
            connection.send("VA 5 O" + ScriptedServer.requestId(connection.readCommand()) + " h1\r\nhel");
            connection.awaitEnd();
            ended.countDown();
        });
        ScriptedServer origin = new ScriptedServer(connection -> {
            for (String request; (request = connection.readRequest()) != null; ) {
                if (request.startsWith("PUT")) {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nr");
                    connection.awaitEnd();
                    ended.countDown();
                } else {
                    connection.sendHttp(200, "", "fetch");
                }
            }
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            assertThat(client.line()).isEqualTo("fetch");
            client.send("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            ended.await();
        }
    }
}
