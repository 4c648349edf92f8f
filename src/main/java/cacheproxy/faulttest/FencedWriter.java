package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.TargetSelector;
import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.NameHash;
import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * What is done under duties, counted where it is received: a job beside each proxy that hears that it may act does so,
 * some after having stood still in the midst of it for longer than any lease, and a store takes what it writes unless
 * it comes under an older epoch than it has seen. On one event loop.
 */
final class FencedWriter {
    private static final double STANDS_STILL = 0.05;
    private static final double LONGEST_MS = 4000;
    private static final double USUAL_MS = 20;

    private final EventLoop loop;
    private final History history;
    private final SplittableRandom random;
    private final FencingTokenCheck guard = new FencingTokenCheck();
    /** By proxy and duty: whether a job is at it. */
    private final boolean[][] busy;

    FencedWriter(EventLoop loop, History history, int proxies, int duties, long seed) {
        this.loop = loop;
        this.history = history;
        random = new SplittableRandom(seed + 7);
        busy = new boolean[proxies][duties];
    }

    /** A proxy has said that the job beside it may act. */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    void may(int proxy, int number, String duty, long epoch) {
        if (busy[proxy][number]) {
            return;
        }
        busy[proxy][number] = true;
        double takes = random.nextDouble() * (random.nextDouble() < STANDS_STILL ? LONGEST_MS : USUAL_MS);
        loop.schedule(
                () -> {
                    busy[proxy][number] = false;
                    boolean accepted = guard.accepts(NameHash.of(duty), epoch);
                    history.add(
                            0,
                            TargetSelector.proxyName(proxy),
                            Event.LEADER_ACTION,
                            duty,
                            accepted ? "accepted" : "refused",
                            (double) epoch);
                },
                (long) (takes * 1000),
                TimeUnit.MICROSECONDS);
    }
}
