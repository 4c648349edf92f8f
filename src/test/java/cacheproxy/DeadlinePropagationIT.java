package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FloodClient;
import cacheproxy.fakes.FloodKind;
import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against the fault of the incident of 2026-12-02, on real processes: whatever has delayed a request, the
 * deadline sent to a server is at most the time that the client has left, with 150 ms of slack.
 */
@Timeout(60)
class DeadlinePropagationIT {
    private static final double SLACK_MS = 150;
    private static final int WAIT_MS = 3000;
    private static final long DELAY_MS = 600;
    private static final int FLOODING_CONNECTIONS = 300;
    private static final int NEW_CONNECTIONS = 60;
    private static final Pattern DEADLINE = Pattern.compile("[P,: ]d=([0-9.]+)");

    @TempDir
    private Path folder;

    /** A deadline that a server has received, and when. */
    private record ReceivedDeadline(double deadlineMs, long atNanos) {
        /**
         * The time that was left at that moment to a client that sent its request at {@code sentNanos} and waits for
         * {@link #WAIT_MS}.
         */
        double clientLeftMs(long sentNanos) {
            return WAIT_MS - (atNanos - sentNanos) / 1e6;
        }
    }

    private static ReceivedDeadline receivedDeadline(String command) {
        long now = System.nanoTime();
        Matcher matcher = DEADLINE.matcher(command);
        assertThat(matcher.find()).as(command).isTrue();
        return new ReceivedDeadline(Double.parseDouble(matcher.group(1)), now);
    }

    private static void delayResponse() {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DELAY_MS);
        for (long left; (left = until - System.nanoTime()) > 0; ) {
            LockSupport.parkNanos(left);
        }
    }

    private static String read(String id) {
        return "mg 7f3a9c21e0b4d655 v O" + id + " Pc=seg-text,d=" + WAIT_MS;
    }

    private static String hit(String command) {
        return "VA 5 O" + ScriptedServer.requestId(command) + " h1\r\nhello\r\n";
    }

    private static void assertWithinTimeLeft(ReceivedDeadline received, long sentNanos) {
        assertThat(received.deadlineMs())
                .as("deadline sent to the server, ms")
                .isPositive()
                .isLessThanOrEqualTo(received.clientLeftMs(sentNanos) + SLACK_MS);
    }

    @Test
    void theOriginReceivesTheTimeLeftAfterALateMiss() throws Exception {
        BlockingQueue<ReceivedDeadline> origin = new LinkedBlockingQueue<>();
        try (ServeProcess proxy = new ServeProcess(folder)
                        .node(new ScriptedServer(connection -> {
                            for (String line; (line = connection.readCommand()) != null; ) {
                                delayResponse();
                                connection.send("EN O" + ScriptedServer.requestId(line) + "\r\n");
                            }
                        }))
                        .origin(new ScriptedServer(connection -> {
                            while (true) {
                                String request = connection.readRequest();
                                if (request == null) {
                                    return;
                                }
                                origin.add(receivedDeadline(request));
                                connection.sendHttp(200, "", "hello");
                            }
                        }))
                        .start();
                ServeProcess.Client client = proxy.client()) {
            long sent = client.send(read("a1"));
            assertWithinTimeLeft(origin.take(), sent);
            assertThat(client.line()).isEqualTo("VA 5 Oa1");
        }
    }

    @Test
    void aRetryCarriesTheTimeLeftAfterALateFailure() throws Exception {
        BlockingQueue<ReceivedDeadline> retries = new LinkedBlockingQueue<>();
        ScriptedServer.Script late = connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                ReceivedDeadline received = receivedDeadline(line);
                if (received.deadlineMs() > WAIT_MS - DELAY_MS) {
                    delayResponse();
                    connection.send("SERVER_ERROR busy\r\n");
                } else {
                    retries.add(received);
                    connection.send(hit(line));
                }
            }
        };
        try (ServeProcess proxy = new ServeProcess(folder)
                        .node(new ScriptedServer(late))
                        .node(new ScriptedServer(late))
                        .start();
                ServeProcess.Client client = proxy.client()) {
            long sent = client.send(read("b1"));
            assertWithinTimeLeft(retries.take(), sent);
            assertThat(client.line()).isEqualTo("VA 5 Ob1");
        }
    }

    private BlockingQueue<ReceivedDeadline> receivedDeadline(ServeProcess proxy) throws IOException {
        BlockingQueue<ReceivedDeadline> all = new LinkedBlockingQueue<>();
        proxy.node(ScriptedServer.node(line -> {
            all.add(receivedDeadline(line));
            return hit(line);
        }));
        return all;
    }

    /** Guards against a wait in the accept queue that builds up although each turn of the event loop is short. */
    @Test
    void aRequestThatWaitedBehindAFloodOfConnectionsCarriesTheTimeLeft() throws Exception {
        try (ServeProcess proxy = new ServeProcess(folder)) {
            BlockingQueue<ReceivedDeadline> received = receivedDeadline(proxy);
            proxy.start();
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port());
            try (FloodClient flood = FloodClient.start(address, FloodKind.RECONNECTS, FLOODING_CONNECTIONS, true, 1)) {
                flood.awaitSent();
                for (int i = 0; i < NEW_CONNECTIONS; i++) {
                    try (ServeProcess.Client client = proxy.client()) {
                        long sent = client.send(read("flooded" + i));
                        assertThat(client.line()).isEqualTo("VA 5 Oflooded" + i);
                        assertWithinTimeLeft(received.take(), sent);
                        received.clear(); // a hedged request that came later
                    }
                }
            }
        }
    }

    @Test
    void aRequestThatWaitedUnreadOnAnOpenConnectionCarriesTheTimeLeft() throws Exception {
        try (ServeProcess proxy = new ServeProcess(folder)) {
            BlockingQueue<ReceivedDeadline> received = receivedDeadline(proxy);
            try (ServeProcess.Client client = proxy.start().client()) {
                client.send(read("c1"));
                assertThat(client.line()).isEqualTo("VA 5 Oc1");
                assertThat(client.line()).isEqualTo("hello");
                received.take();
                proxy.pause();
                long sent = client.send(read("c2"));
                delayResponse();
                proxy.signal("CONT");
                assertWithinTimeLeft(received.take(), sent);
                assertThat(client.line()).isEqualTo("VA 5 Oc2");
            }
        }
    }

    @Test
    void aRequestThatWaitedInTheAcceptQueueCarriesTheTimeLeft() throws Exception {
        try (ServeProcess proxy = new ServeProcess(folder)) {
            BlockingQueue<ReceivedDeadline> received = receivedDeadline(proxy);
            proxy.start().pause();
            try (ServeProcess.Client client = proxy.client()) {
                long sent = client.send(read("d1"));
                delayResponse();
                proxy.signal("CONT");
                assertWithinTimeLeft(received.take(), sent);
                assertThat(client.line()).isEqualTo("VA 5 Od1");
            }
        }
    }
}
