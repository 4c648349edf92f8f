package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that timers run once, in order and never early, and that cancelled timers do not run. */
class TimerWheelTest {
    @Test
    void runsTimersOnceAndNeverEarlyUnlessCancelled() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        EventLoop loop = group.next();
        int count = 2000;
        CountDownLatch last = new CountDownLatch(count);
        List<String> errors = new ArrayList<>();
        List<Integer> order = new ArrayList<>();
        loop.submit(() -> {
                    TimerWheel timers = new TimerWheel(loop, new PollClock(), new FaultMonitor(errors::add));
                    Random random = new Random(5);
                    for (int i = 0; i < count; i++) {
                        // some timers are beyond the four seconds that the wheel covers
                        double ms = i % 500 == 0 ? 4200 : random.nextInt(300);
                        long due = System.nanoTime() + (long) (ms * 1e6);
                        timers.after(ms, () -> {
                            if (System.nanoTime() < due) {
                                errors.add("early");
                            }
                            last.countDown();
                        });
                        timers.after(ms, () -> errors.add("cancelled timer has run"))
                                .cancel();
                    }
                    timers.after(10, () -> {
                        timers.after(0, () -> order.add(2)); // a timer that is set by a timer runs later
                        order.add(1);
                    });
                })
                .sync();
        assertThat(last.await(60, TimeUnit.SECONDS)).isTrue();
        assertThat(loop.submit(() -> List.copyOf(errors)).get()).isEmpty();
        assertThat(order).containsExactly(1, 2);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** Guards against timers that are dropped because one before them has thrown an error. */
    @Test
    void aTimerThatThrowsEndsNoOther() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        EventLoop loop = group.next();
        FaultMonitor faults = new FaultMonitor(line -> {});
        CountDownLatch others = new CountDownLatch(3);
        loop.submit(() -> {
                    TimerWheel timers = new TimerWheel(loop, new PollClock(), faults);
                    for (int i = 0; i < 3; i++) {
                        timers.after(1, () -> {
                            throw new StackOverflowError();
                        });
                        timers.after(1, others::countDown);
                    }
                })
                .sync();
        assertThat(others.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(loop.submit(faults::count).get()).isEqualTo(3);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
}
