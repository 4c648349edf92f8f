package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.request.MetaCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests the graceful shutdown: every accepted request is answered, connections close between requests, and the shutdown
 * ends in time.
 */
@Timeout(20)
class DrainTest {
    @Test
    void answersPendingRequestBeforeClosingItsConnection() throws Exception {
        CountDownLatch resume = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String line = connection.readCommand();
            resume.await();
            connection.send("VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client idle = fleet.client();
                Fleet.Client busy = fleet.client();
                Fleet.Client half = fleet.client()) {
            assertThat(idle.send("mn\r\n").line()).isEqualTo("MN");
            half.send("mn\r\nm");
            assertThat(half.line()).isEqualTo("MN");
            busy.read("1");
            node.awaitCommand();
            Thread drain = new Thread(fleet.proxy::drain);
            drain.start();
            assertThat(idle.ended()).isTrue();
            resume.countDown();
            assertThat(busy.line()).isEqualTo("VA 5 O1");
            assertThat(busy.line()).isEqualTo("hello");
            assertThat(busy.ended()).isTrue();
            half.send("n\r\n"); // a command that had been received in part is still answered
            assertThat(half.line()).isEqualTo("MN");
            assertThat(half.ended()).isTrue();
            idle.close();
            busy.close();
            half.close();
            drain.join();
        }
    }

    /** Guards against a drain that ends connections before slow clients have got the responses written to them. */
    @Test
    void sendsWrittenResponsesToSlowClientBeforeClosingItsConnection() throws Exception {
        byte[] value = new byte[MetaCodec.MAX_VALUE_BYTES]; // more than the operating system takes at once
        CountDownLatch resume = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                resume.await();
                CacheResponses.sendValue(connection, line, value);
            }
        });
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            resume.await();
            connection.sendHttp(200, "", "r1");
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client slow = fleet.slowClient();
                Fleet.Client idle = fleet.client()) {
            assertThat(idle.send("mn\r\n").line()).isEqualTo("MN");
            slow.send(Fleet.readCommand("1") + "ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            fleet.awaitPendingRequests(2);
            resume.countDown();
            fleet.awaitPendingRequests(0);
            Thread drain = new Thread(fleet.proxy::drain);
            drain.start();
            assertThat(idle.ended()).isTrue();
            idle.close();
            assertThat(slow.line()).isEqualTo("VA " + value.length + " O1");
            assertThat(slow.bytes(value.length)).isEqualTo(value);
            assertThat(slow.line()).isEmpty();
            assertThat(slow.line()).isEqualTo("HD O2 cr1");
            assertThat(slow.ended()).isTrue();
            slow.close();
            drain.join();
        }
    }

    /** The platform kills a process 3.7 s after SIGTERM, even if a request's deadline is later. */
    @Test
    void concludesRequestsBeforePlatformKillsProcess() throws Exception {
        ScriptedServer silent = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        ScriptedServer origin = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        try (Fleet fleet = new Fleet().node(silent).origin(origin).start();
                Fleet.Client reads = fleet.client();
                Fleet.Client writes = fleet.client()) {
            reads.read("1");
            writes.send("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            fleet.awaitPendingRequests(2);
            Thread drain = new Thread(fleet.proxy::drain);
            drain.start();
            assertThat(reads.line()).startsWith("SERVER_ERROR busy");
            assertThat(writes.line()).isEqualTo("SERVER_ERROR failed"); // it may have been processed
            assertThat(reads.ended()).isTrue();
            reads.close();
            writes.close();
            drain.join();
        }
    }

    /** Guards against a shutdown that ends while responses wait behind a long value that is not whole. */
    @Test
    void answersRequestsBehindHeldValueBeforePlatformKillsProcess() throws Exception {
        ScriptedServer slow = new ScriptedServer(connection -> {
            String id = ScriptedServer.requestId(connection.readCommand());
            connection.send(CacheResponses.head(id, MetaCodec.MAX_VALUE_BYTES));
            connection.socket.setSoTimeout(500);
            for (boolean ended = false; !ended; ) {
                connection.out.write(new byte[1000]);
                try {
                    ended = connection.in.read() < 0;
                } catch (SocketTimeoutException e) {
                    // the proxy still waits: it gets the next part
                }
            }
        });
        ScriptedServer origin = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.sendHttp(200, "", "r1");
        });
        try (Fleet fleet = new Fleet().node(slow).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.send(Fleet.readCommand("1") + "ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            origin.awaitCommand();
            Thread drain = new Thread(fleet.proxy::drain);
            drain.start();
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(client.line()).isEqualTo("HD O2 cr1");
            assertThat(client.ended()).isTrue();
            client.close();
            drain.join();
        }
    }

    /**
     * Connections close between two requests, but this client always has a request pending. Its last requests are
     * answered or rejected.
     */
    @Test
    void closesConnectionThatAlwaysHasRequestPending() throws Exception {
        BlockingQueue<Runnable> pendingResponses = new LinkedBlockingQueue<>();
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                String answer = CacheResponses.hit(line);
                pendingResponses.add(() -> sayQuietly(connection, answer));
                if (pendingResponses.size() > 1) {
                    pendingResponses.take().run(); // one response for each further command: one is pending at all times
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
            int rejected = 0;
            for (String line; (line = client.line()) != null; ) {
                if (line.startsWith("VA ")) {
                    answers++;
                    client.read("a" + (answers + 1));
                } else if (line.startsWith("SERVER_ERROR busy")) {
                    rejected++;
                }
            }
            client.close();
            drain.join();
            assertThat(rejected).isBetween(1, 2);
            // One is out at the node at the end; another that the system held by then is rejected unsent.
            List<String> ids =
                    node.commands.stream().map(ScriptedServer::requestId).toList();
            assertThat(ids).hasSizeBetween(answers + 1, answers + rejected);
            assertThat(ids)
                    .as("requests that reached the node, each once and in order")
                    .isEqualTo(IntStream.range(0, ids.size())
                            .mapToObj(number -> "a" + number)
                            .toList());
        }
    }

    private static void sayQuietly(ScriptedServer.Connection connection, String text) {
        try {
            connection.send(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
