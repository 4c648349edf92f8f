package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that the end of an event loop is noticed unless it was to be expected. */
@Timeout(30)
class EventLoopWatchTest {
    /** Guards against a process that keeps its sockets open after an error has ended its event loop. */
    @Test
    void reportsALoopThatEndsUnexpectedly() throws InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        CountDownLatch reported = new CountDownLatch(1);
        EventLoopWatch.start(group, reported::countDown);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        assertThat(reported.await(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void reportsNothingIfTheLoopIsShutDown() throws InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        AtomicBoolean reported = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(1);
        EventLoopWatch watch = EventLoopWatch.start(group, () -> reported.set(true));
        group.terminationFuture().addListener(done -> ended.countDown());
        watch.expectEnd();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(reported).isFalse();
    }
}
