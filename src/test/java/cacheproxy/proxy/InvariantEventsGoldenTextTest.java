package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.invariant.Invariant;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the lines on standard error when an action is stopped by an invariant, and when an invariant is violated. */
class InvariantEventsGoldenTextTest {
    private static final long MAX_VALUE_BYTES = 1 << 20;
    private static final int MAX_UPSTREAM = 16;

    @Test
    void aStoppedActionAndAViolationHaveTheirLines() {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream originalErr = System.err;
        System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            EventLoopContext loopContext = new EventLoopContext(
                    group.next(),
                    new PollClock(),
                    NioSocketChannel.class,
                    new EventLoopLimits(MAX_VALUE_BYTES, MAX_UPSTREAM, false));
            loopContext.events().enable();
            loopContext.invariants().recordStopped(Invariant.SINGLE_ANSWER, "r1", "two answers");
            loopContext.invariants().recordViolation(Invariant.SERVER_ACCEPTS, "r2", "it drains");
            loopContext.events().close();
        } finally {
            System.setErr(originalErr);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
        assertThat(out.toString(StandardCharsets.UTF_8)
                        .replaceAll(" t=\\d+\\.\\d{3} ", " t=TIME ")
                        .lines())
                .containsExactlyInAnyOrder(
                        "action_stopped t=TIME id=r1 invariant=single_answer reason=two_answers",
                        "invariant violated: server_accepts, request r2: it drains",
                        "invariant_violated t=TIME id=r2 invariant=server_accepts reason=it_drains");
    }
}
