package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests on a real event loop that the work of many users leaves the loop its turns. */
@Timeout(30)
class TurnSchedulerTest {
    private final PollClock polls = new PollClock();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, polls.newIoHandlerFactory(Transport.BEST));
    private final EventLoop loop = group.next();
    private final FaultMonitor faults = new FaultMonitor(line -> {});
    private final TurnScheduler scheduler = new TurnScheduler(loop, polls, faults);

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static void use(long nanos) {
        for (long end = System.nanoTime() + nanos; System.nanoTime() < end; ) {
            Thread.onSpinWait();
        }
    }

    /** Guards against work that queues itself again and keeps the loop from its sockets and timers. */
    @SuppressWarnings("FutureReturnValueIgnored") // what the timer completes is awaited
    @Test
    void theLoopPollsAndRunsTimersBesideEndlessWork() throws Exception {
        CompletableFuture<Long> polled = new CompletableFuture<>();
        loop.execute(() -> {
            long firstTurn = polls.turn();
            scheduler.scheduleBacklog(() -> {
                use(TurnScheduler.SLICE_NANOS);
                return !polled.isDone();
            });
            loop.schedule(() -> polled.complete(polls.turn() - firstTurn), 50, TimeUnit.MILLISECONDS);
        });
        assertThat(polled.get()).as("polls while the work ran").isGreaterThan(1);
        assertThat(loop.submit(scheduler::turnsCutShort).get()).isPositive();
    }

    /** Guards against new work that waits for all work of those with a backlog. */
    @Test
    void newWorkComesBeforeABacklog() throws Exception {
        int users = 50;
        List<String> order = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(users + 1);
        loop.execute(() -> {
            for (int i = 0; i < users; i++) {
                scheduler.scheduleBacklog(() -> {
                    use(TurnScheduler.SLICE_NANOS);
                    order.add("backlog");
                    done.countDown();
                    return false;
                });
            }
            scheduler.schedule(() -> {
                order.add("new");
                done.countDown();
                return false;
            });
        });
        done.await();
        assertThat(order).hasSize(users + 1).first().isEqualTo("new");
    }

    /** Guards against turns that are cut after each event in a process with a fraction of a core. */
    @Test
    void someEventsAndSlicesRunInATurnHoweverLongTheyTake() throws Exception {
        List<Long> turns = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(3);
        loop.execute(() -> {
            assertThat(scheduler.mayHandleAtOnce()).isTrue();
            scheduler.handledAtOnce(TimeUnit.SECONDS.toNanos(1));
            assertThat(scheduler.mayHandleAtOnce()).isTrue();
            for (int i = 0; i < 3; i++) {
                scheduler.schedule(() -> {
                    use(TimeUnit.MILLISECONDS.toNanos(5));
                    turns.add(polls.turn());
                    done.countDown();
                    return false;
                });
            }
        });
        done.await();
        assertThat(turns).containsOnly(turns.get(0));
    }

    @Test
    void usersHaveTheirSlicesInTurn() throws Exception {
        List<Integer> order = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(6);
        loop.execute(() -> {
            for (int user = 0; user < 3; user++) {
                int number = user;
                scheduler.schedule(() -> {
                    order.add(number);
                    done.countDown();
                    return order.size() <= 3;
                });
            }
        });
        done.await();
        assertThat(order).containsExactly(0, 1, 2, 0, 1, 2);
    }

    @Test
    void anErrorInASliceLeavesTheWorkOfOthers() throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            scheduler.schedule(() -> {
                throw new IllegalStateException("a fault of one user");
            });
            scheduler.schedule(() -> {
                done.countDown();
                return false;
            });
        });
        done.await();
        assertThat(loop.submit(faults::count).get()).isEqualTo(1);
    }
}
