package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.TargetSelector;
import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.NameHash;
import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Simulates leader actions under leases and records them where they are received. Each proxy has a job that acts while
 * the proxy holds a lease, sometimes after a pause longer than any lease. A store accepts the job's writes unless their
 * epoch is older than one that the store has already seen. Used on one event loop.
 */
final class FencedWriter {
    private static final double PAUSE_PROBABILITY = 0.05;
    private static final double MAX_PAUSE_MS = 4000;
    private static final double MAX_NORMAL_DELAY_MS = 20;

    private final EventLoop loop;
    private final History history;
    private final SplittableRandom random;
    private final FencingTokenCheck store = new FencingTokenCheck();
    /** By proxy and lease: whether an action of the job is in progress. */
    private final boolean[][] acting;

    FencedWriter(EventLoop loop, History history, int proxies, int leases, long seed) {
        this.loop = loop;
        this.history = history;
        random = new SplittableRandom(seed + 7);
        acting = new boolean[proxies][leases];
    }

    /**
     * Starts an action of a proxy's job after the proxy reported that it holds a lease; ignored while an action is in
     * progress.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    void act(int proxy, int leaseIndex, String lease, long epoch) {
        if (acting[proxy][leaseIndex]) {
            return;
        }
        acting[proxy][leaseIndex] = true;
        double durationMs =
                random.nextDouble() * (random.nextDouble() < PAUSE_PROBABILITY ? MAX_PAUSE_MS : MAX_NORMAL_DELAY_MS);
        loop.schedule(
                () -> {
                    acting[proxy][leaseIndex] = false;
                    boolean accepted = store.accepts(NameHash.of(lease), epoch);
                    String detail = accepted ? Event.ACCEPTED : Event.REJECTED;
                    history.add(0, TargetSelector.proxyName(proxy), Event.LEADER_ACTION, lease, detail, (double) epoch);
                },
                (long) (durationMs * 1000),
                TimeUnit.MICROSECONDS);
    }
}
