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

/** The operators' door on loopback: right calls, wrong ones, half ones and none. */
@Timeout(60)
class ControlServerTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicBoolean active = new AtomicBoolean(true);
    private final AtomicBoolean events = new AtomicBoolean();
    private final AtomicInteger reloads = new AtomicInteger();
    private ControlServer door;

    @BeforeEach
    void open() throws InterruptedException {
        door = new ControlServer(
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
                                () -> "violations=0 stopped=0", events::set, () -> reloads.incrementAndGet() == 1)));
        door.bind(new InetSocketAddress("127.0.0.1", 0)).sync();
    }

    @Test
    void diagnosticCallsAreCarriedOutByTheirMethodsAlone() throws IOException {
        assertThat(call("GET /invariants HTTP/1.1\r\nHost: x\r\n\r\n"))
                .contains(" 200 ")
                .contains("violations=0 stopped=0");
        assertThat(call("POST /events/on HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 200 ");
        assertThat(events).isTrue();
        assertThat(call("POST /events/off HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 200 ");
        assertThat(events).isFalse();
        assertThat(call("GET /reload HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 405 ");
        assertThat(call("POST /reload HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 202 ");
        assertThat(call("POST /reload HTTP/1.1\r\nHost: x\r\n\r\n")).contains(" 503 ");
        assertThat(reloads).hasValue(2);
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket caller() throws IOException {
        Socket s = new Socket();
        s.connect(
                new InetSocketAddress(
                        InetAddress.getByName("127.0.0.1"), door.address().getPort()),
                10_000);
        s.setSoTimeout(10_000);
        return s;
    }

    /** All that is answered, up to the end that the door makes. */
    private static String answer(Socket s) throws IOException {
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private String call(String text) throws IOException {
        try (Socket s = caller()) {
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return answer(s);
        }
    }

    private static String head(String line) {
        return line + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    @Test
    void theThreeCallsAreAnsweredOneAConnection() throws Exception {
        assertThat(call(head("GET /status")))
                .startsWith("HTTP/1.1 200 ")
                .contains("connection: close")
                .endsWith("\r\n\r\nactive\n");
        assertThat(call(head("POST /standby"))).startsWith("HTTP/1.1 200 ").endsWith("standby\n");
        assertThat(call(head("GET /status?x=1"))).startsWith("HTTP/1.1 503 ").endsWith("standby\n");
        assertThat(call("POST /active HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"))
                .startsWith("HTTP/1.1 200 ");
        assertThat(call(head("GET /status") + head("POST /standby"))).startsWith("HTTP/1.1 200 ");
        assertThat(active)
                .as("a second call on one connection is not carried out")
                .isTrue();
    }

    @Test
    void whatIsNoCallIsAnsweredWithAnErrorAndCarriesNothingOut() throws Exception {
        assertThat(call(head("GET /standby")))
                .startsWith("HTTP/1.1 405 ")
                .contains("allow: POST")
                .contains("use POST /standby");
        assertThat(call(head("POST /status"))).startsWith("HTTP/1.1 405 ").contains("allow: GET");
        assertThat(call(head("POST /standby/"))).startsWith("HTTP/1.1 404 ").contains("GET /status");
        assertThat(call(head("GET /" + "x".repeat(5000)))).startsWith("HTTP/1.1 400 ");
        assertThat(call("POST /standby HTTP/1.1\r\nX: " + "y".repeat(9000) + "\r\n\r\n"))
                .startsWith("HTTP/1.1 400 ");
        assertThat(call("POST /standby HTTP/1.1\r\nContent-Length: 999999\r\n\r\n"))
                .startsWith("HTTP/1.1 413 ");
        assertThat(call("\0\1\2\3 nonsense\r\n\r\n")).startsWith("HTTP/1.1 400 ");
        assertThat(active).isTrue();
    }

    @Test
    void aCallInPiecesIsHeardAndHalfOfOneOrNoneIsTold() throws Exception {
        try (Socket pieces = caller();
                Socket half = caller();
                Socket silent = caller()) {
            for (char c : head("GET /status").toCharArray()) {
                pieces.getOutputStream().write(c);
                pieces.getOutputStream().flush();
            }
            assertThat(answer(pieces)).startsWith("HTTP/1.1 200 ");
            half.getOutputStream().write("POST /standby HTTP/1.1\r\nHo".getBytes());
            assertThat(answer(half)).startsWith("HTTP/1.1 408 ");
            assertThat(answer(silent)).startsWith("HTTP/1.1 408 ");
        }
        assertThat(active).isTrue();
    }

    @Test
    void threeHundredCallersAtOnceAreAllAnsweredAlsoBehindSilentOnes() throws Exception {
        List<Socket> callers = new ArrayList<>();
        try {
            // They come while the loop is held up, so that all stand before the first is heard.
            CountDownLatch go = new CountDownLatch(1);
            group.next().execute(() -> {
                try {
                    go.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            for (int i = 0; i < 300; i++) {
                Socket s = caller();
                callers.add(s);
                if (i >= 20) {
                    s.getOutputStream().write(head("GET /status").getBytes());
                }
            }
            go.countDown();
            for (Socket s : callers.subList(20, 300)) {
                assertThat(answer(s)).startsWith("HTTP/1.1 200 ");
                s.close();
            }
        } finally {
            for (Socket s : callers) {
                s.close();
            }
        }
    }

    @Test
    void callersThatSayNothingMakeRoomForCallsOldestFirst() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 3 * ControlServer.MAX_CALLERS; i++) {
                silent.add(caller());
            }
            assertThat(call(head("GET /status"))).startsWith("HTTP/1.1 200 ");
            assertThat(silent.get(0).getInputStream().read()).isNegative();
        } finally {
            for (Socket s : silent) {
                s.close();
            }
        }
    }
}
