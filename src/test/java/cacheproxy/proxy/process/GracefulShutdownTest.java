package cacheproxy.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.EventLoopLimits;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of a graceful shutdown on an event loop that is held up. */
@Timeout(20)
class GracefulShutdownTest {
    private static final int LONGEST_DEADLINE_MS = 100;
    /** Beyond the time that a shutdown on time leaves for the last responses. */
    private static final int HELD_UP_TO_MS = 400;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final EventLoopContext loopContext = new EventLoopContext(
            loop, new PollClock(), Transport.BEST.socket(), new EventLoopLimits(1 << 20, 10, false));

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** Guards against a process that is held up at the longest deadline and ends without the last responses. */
    @Test
    void looksWhetherItIsDrainedAfterTheConclusionHoweverLateThatIs() throws Exception {
        List<String> events = new ArrayList<>();
        CountDownLatch firstLook = new CountDownLatch(1);
        GracefulShutdown shutdown = new GracefulShutdown(
                loop,
                loopContext,
                0,
                () -> {
                    events.add("look");
                    firstLook.countDown();
                    return false;
                },
                () -> events.add("conclusion"));
        double startMs = loopContext.nowMs();
        Thread process = new Thread(() -> shutdown.run(() -> LONGEST_DEADLINE_MS));
        process.start();
        firstLook.await();
        loop.execute(() -> {
            while (loopContext.nowMs() < startMs + HELD_UP_TO_MS) {
                Thread.onSpinWait();
            }
        });
        process.join();
        List<String> seen = loop.submit(() -> List.copyOf(events)).get();
        assertThat(seen).containsOnlyOnce("conclusion").endsWith("look");
    }
}
