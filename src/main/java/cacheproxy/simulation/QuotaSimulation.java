package cacheproxy.simulation;

import cacheproxy.fleet.quota.OvershootBound;
import cacheproxy.fleet.quota.QuotaSpec;
import cacheproxy.fleet.quota.QuotaTiming;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A fleet that shares one quota, on one virtual clock: the real decisions of package {@code fleet.quota} at each proxy,
 * with links that lose, delay, duplicate and block, proxies that pause, die and come back, clocks that drift; and other
 * schemes of sharing beside them. The same plan and seed give the same figures. Times are in milliseconds.
 */
public final class QuotaSimulation {
    /** How a quota is shared. The benchmark prints these names. */
    public enum Scheme {
        /** An allocator by lease, or whoever replies. */
        DEALER,
        /** Each proxy borrows for itself from all others. */
        PEERS,
        /** Each tells its demand to all and takes its part of the quota by it. */
        GOSSIP,
        /** Equal shares. */
        STATIC
    }

    /** What a fault does. */
    public enum FaultKind {
        /** Processes end, and start again when the fault is over. */
        KILL,
        /** Processes do nothing, and go on when the fault is over. */
        PAUSE,
        /** Proxies neither send nor receive. */
        ISOLATE,
        /** Proxies don't send. */
        BLOCK_SENDING,
        /** Proxies exchange no messages with all others. */
        PARTITION,
        /** A part of all messages is lost. */
        LOSE,
        /** All messages take longer. */
        DELAY,
        /** All messages arrive twice. */
        DUPLICATE
    }

    /**
     * A fault from a time on, for so long.
     *
     * @param proxies indices of those that it hits; those of one side of a partition
     * @param magnitude the part of the messages that is lost, or the longest delay in milliseconds
     */
    public record Fault(FaultKind kind, double startMs, double durationMs, List<Integer> proxies, double magnitude) {}

    /**
     * What is simulated.
     *
     * @param proxies how many there are
     * @param offeredPerSecond requests at each proxy, in spans of {@code spanMs} that follow one another and begin
     *     again
     * @param maxHoldMs the longest time for which a request is in flight
     * @param durationMs of the simulation
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    public record Plan(
            Scheme scheme,
            int proxies,
            QuotaSpec quota,
            QuotaTiming timing,
            double[][] offeredPerSecond,
            double spanMs,
            double maxHoldMs,
            double durationMs,
            List<Fault> faults,
            long seed) {}

    /**
     * What came of it.
     *
     * @param overshoot by window ({@link #WINDOWS_MS}) the most by which the admitted requests were over the rate's
     *     part of the window; of concurrent requests the first is the most by which they were over the quota
     * @param idleFraction the part of the quota that was unused while that much was rejected, the mean of whole seconds
     *     from the fourth on
     * @param admitted requests
     * @param rejected requests
     * @param messagesPerSecond that each proxy sent
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    public record Result(
            double[] overshoot, double idleFraction, long admitted, long rejected, double messagesPerSecond) {}

    /** The windows that {@link Result#overshoot} is of. */
    @SuppressWarnings("MutablePublicArray") // read by tests of other packages, changed by nobody
    public static final double[] WINDOWS_MS = {100, 1000, 10_000};

    private final Plan plan;
    private final SplittableRandom random;
    private final VirtualClock clock = new VirtualClock(0);
    private final List<SimulatedQuotaProxy> proxies = new ArrayList<>();
    private final SimulatedQuotaNetwork network;
    private final SimulatedAllocatorLease lease;
    private final QuotaMetrics metrics;

    private QuotaSimulation(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
        network = new SimulatedQuotaNetwork(clock, random);
        lease = new SimulatedAllocatorLease(clock, network, proxies);
        metrics = new QuotaMetrics(plan.quota, plan.durationMs);
    }

    /** Runs a plan to its end. */
    public static Result run(Plan plan) {
        return new QuotaSimulation(plan).run();
    }

    /**
     * Returns by how much a window may exceed the rate's part of it: by what is saved up, and what clocks that run fast
     * make of it. Where a proxy that hears nothing goes on with its last grant, the decay of all grants adds to it,
     * once for each time that the links fail.
     */
    public static double maxOvershoot(QuotaSpec quota, QuotaTiming timing, int proxies, double windowMs) {
        return OvershootBound.maxOvershoot(quota, timing, proxies, windowMs);
    }

    private Result run() {
        for (int i = 0; i < plan.proxies; i++) {
            double drift = plan.timing.maxDrift() * (2 * random.nextDouble() - 1);
            proxies.add(new SimulatedQuotaProxy(i, drift, plan, clock, random, network, proxies, lease.handleOf(i)));
        }
        proxies.forEach(SimulatedQuotaProxy::start);
        for (int i = 0; i < plan.proxies; i++) {
            scheduleRequest(i);
        }
        plan.faults.forEach(fault -> clock.at(fault.startMs, () -> begin(fault)));
        clock.runUntil(plan.durationMs, this::beforeEvent);
        return metrics.result(network.messages() * 1000.0 / plan.durationMs / plan.proxies);
    }

    private void beforeEvent() {
        if (plan.scheme == Scheme.DEALER) {
            lease.update();
        }
    }

    /** Schedules the next request at a proxy: at random, by the rate of the span in which it falls. */
    private void scheduleRequest(int proxy) {
        double fromMs = clock.nowMs();
        int span = (int) (fromMs / plan.spanMs);
        while (span * plan.spanMs < plan.durationMs) {
            double[] rates = plan.offeredPerSecond[span % plan.offeredPerSecond.length];
            double rate = rates[proxy % rates.length];
            double atMs =
                    rate <= 0 ? Double.POSITIVE_INFINITY : fromMs - Math.log(1 - random.nextDouble()) / rate * 1000;
            if (atMs < (span + 1) * plan.spanMs) {
                clock.at(atMs, () -> {
                    request(proxies.get(proxy));
                    scheduleRequest(proxy);
                });
                return;
            }
            span++;
            fromMs = span * plan.spanMs;
        }
    }

    private void request(SimulatedQuotaProxy proxy) {
        if (!proxy.isRunning()) {
            return;
        }
        if (!proxy.tryAdmit()) {
            metrics.recordRejected(clock.nowMs());
            return;
        }
        metrics.recordAdmitted(clock.nowMs());
        if (plan.quota.concurrent()) {
            metrics.recordBegin();
            long admittedBy = proxy.incarnation();
            clock.at(clock.nowMs() + plan.maxHoldMs * random.nextDouble(), () -> {
                metrics.recordEnd();
                proxy.release(admittedBy);
            });
        }
    }

    private void begin(Fault fault) {
        network.begin(fault);
        for (int index : fault.proxies) {
            switch (fault.kind) {
                case KILL -> proxies.get(index).kill();
                case PAUSE -> proxies.get(index).pause();
                default -> {} // of links
            }
        }
        clock.at(clock.nowMs() + fault.durationMs, () -> end(fault));
    }

    private void end(Fault fault) {
        network.end(fault);
        for (int index : fault.proxies) {
            if (fault.kind == FaultKind.KILL) {
                proxies.get(index).start();
            } else if (fault.kind == FaultKind.PAUSE && !network.isPaused(index)) {
                proxies.get(index).resume();
            }
        }
    }
}
