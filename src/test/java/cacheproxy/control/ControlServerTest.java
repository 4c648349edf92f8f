package cacheproxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** {@link ControlServer} on loopback, with valid, invalid, incomplete and missing requests. */
@Timeout(60)
class ControlServerTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicBoolean active = new AtomicBoolean(true);
    private final AtomicBoolean events = new AtomicBoolean();
    private final AtomicInteger reloads = new AtomicInteger();
    private ControlServer server;

    @BeforeEach
    void open() throws InterruptedException {
        server = new ControlServer(
                group.next(),
                NioServerSocketChannel.class,
                new ControlEndpoints(
                        active::get,
                        () -> active.get() ? "active" : "standby",
                        () -> {
                            active.set(false);
                            return true;
                        },
                        () -> {
                            active.set(true);
                            return true;
                        },
                        new DiagnosticEndpoints(
                                () -> "violations=0 stopped=0",
                                () -> "used=0 peak=9",
                                () -> "loop_busy",
                                () -> "warming_up=0",
                                events::set,
                                () -> reloads.incrementAndGet() == 1)));
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync();
    }

    @Test
    void diagnosticEndpointsRequireTheirMethod() throws IOException {
        assertThat(exchange("GET /invariants HTTP/1.1\r\nHost: x\r\n\r\n"))
                .contains(" 200 ")
                .contains("violations=0 stopped=0");
        assertThat(exchange("GET /memory HTTP/1.1\r\nHost: x\r\n\r\n"))
                .contains(" 200 ")
                .contains("used=0 peak=9");
        assertThat(exchange("POST /events/on HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 200 ");
        assertThat(events).isTrue();
        assertThat(exchange("POST /events/off HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 200 ");
        assertThat(events).isFalse();
        assertThat(exchange("GET /reload HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 405 ");
        assertThat(exchange("POST /reload HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 202 ");
        assertThat(exchange("POST /reload HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 503 ");
        assertThat(reloads).hasValue(2);
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), server.address().getPort()),
                10_000);
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** Reads everything up to the end of the connection. */
    private static String readResponse(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private String exchange(String text) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return readResponse(socket);
        }
    }

    private static String request(String line) {
        return line + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    @Test
    void answersOneRequestPerConnection() throws Exception {
        assertThat(exchange(request("GET /status")))
                .startsWith("HTTP/1.1 200 ")
                .contains("connection: close")
                .endsWith("\r\n\r\nactive\n");
        assertThat(exchange(request("POST /standby")))
                .startsWith("HTTP/1.1 200 ")
                .endsWith("standby\n");
        assertThat(exchange(request("GET /status?x=1")))
                .startsWith("HTTP/1.1 503 ")
                .endsWith("standby\n");
        assertThat(exchange("POST /active HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"))
                .startsWith("HTTP/1.1 200 ");
        assertThat(exchange(request("GET /status") + request("POST /standby"))).startsWith("HTTP/1.1 200 ");
        assertThat(active)
                .as("a second request on one connection is not carried out")
                .isTrue();
    }

    @Test
    void rejectsInvalidRequestsWithoutSideEffects() throws Exception {
        assertThat(exchange(request("GET /standby")))
                .startsWith("HTTP/1.1 405 ")
                .contains("allow: POST")
                .contains("use POST /standby");
        assertThat(exchange(request("POST /status")))
                .startsWith("HTTP/1.1 405 ")
                .contains("allow: GET");
        assertThat(exchange(request("POST /standby/")))
                .startsWith("HTTP/1.1 404 ")
                .contains("GET /status");
        assertThat(exchange(request("GET /" + "x".repeat(5000)))).startsWith("HTTP/1.1 400 ");
        assertThat(exchange("POST /standby HTTP/1.1\r\nX: " + "y".repeat(9000) + "\r\n\r\n"))
                .startsWith("HTTP/1.1 400 ");
        assertThat(exchange("POST /standby HTTP/1.1\r\nContent-Length: 999999\r\n\r\n"))
                .startsWith("HTTP/1.1 413 ");
        assertThat(exchange("\0\1\2\3 nonsense\r\n\r\n")).startsWith("HTTP/1.1 400 ");
        assertThat(active).isTrue();
    }

    @Test
    void answersFragmentedRequestAndTimesOutIncompleteOnes() throws Exception {
        try (Socket pieces = connect();
                Socket half = connect();
                Socket silent = connect()) {
            for (char character : request("GET /status").toCharArray()) {
                pieces.getOutputStream().write(character);
                pieces.getOutputStream().flush();
            }
            assertThat(readResponse(pieces)).startsWith("HTTP/1.1 200 ");
            half.getOutputStream().write("POST /standby HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII));
            assertThat(readResponse(half)).startsWith("HTTP/1.1 408 ");
            assertThat(readResponse(silent)).startsWith("HTTP/1.1 408 ");
        }
        assertThat(active).isTrue();
    }

    @Test
    void answersThreeHundredConcurrentRequestsBehindSilentConnections() throws Exception {
        List<Socket> callers = new ArrayList<>();
        try {
            // The clients connect while the loop is blocked, so that all are queued before the first is read.
            CountDownLatch released = new CountDownLatch(1);
            group.next().execute(() -> {
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            for (int i = 0; i < 300; i++) {
                Socket socket = connect();
                callers.add(socket);
                if (i >= 20) {
                    socket.getOutputStream().write(request("GET /status").getBytes(StandardCharsets.US_ASCII));
                }
            }
            released.countDown();
            for (Socket socket : callers.subList(20, 300)) {
                assertThat(readResponse(socket)).startsWith("HTTP/1.1 200 ");
                socket.close();
            }
        } finally {
            for (Socket socket : callers) {
                socket.close();
            }
        }
    }

    @Test
    void closesOldestSilentConnectionToAdmitRequests() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 3 * ControlServer.MAX_CONNECTIONS; i++) {
                silent.add(connect());
            }
            assertThat(exchange(request("GET /status"))).startsWith("HTTP/1.1 200 ");
            assertThat(silent.get(0).getInputStream().read()).isNegative();
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }
}
