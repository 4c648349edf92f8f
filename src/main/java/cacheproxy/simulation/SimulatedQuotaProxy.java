package cacheproxy.simulation;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.fleet.quota.QuotaManager;
import cacheproxy.fleet.quota.QuotaMessage;
import cacheproxy.simulation.QuotaSimulation.Plan;
import cacheproxy.simulation.QuotaSimulation.Scheme;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/**
 * One proxy of a {@link QuotaSimulation}, with a clock that drifts. It shares the quota by the real
 * {@link QuotaManager}, or in one of the simple ways that this is compared with.
 */
final class SimulatedQuotaProxy {
    /** The clocks of two proxies are so far apart. */
    private static final double CLOCK_OFFSET_MS = 1e6;
    /** At the start of a simulation the processes have been running for so long. */
    private static final double INITIAL_UPTIME_MS = 1e5;

    private static final double MAX_TICK_INTERVAL_MS = 20;
    private static final double FIRST_TICK_RANGE_MS = 10;
    /** What came while the proxy was paused is handled in random order within this time. */
    private static final double RESUME_RANGE_MS = 0.01;
    /** Weight of the last interval in the moving average of the demand. */
    private static final double DEMAND_DIVISOR = 3;
    /** A proxy without demand gets a little, so that it may begin. */
    private static final double MIN_DEMAND_PER_SECOND = 0.01;

    private final int index;
    private final double drift;
    private final Plan plan;
    private final VirtualClock clock;
    private final SplittableRandom random;
    private final SimulatedQuotaNetwork network;
    private final List<SimulatedQuotaProxy> proxies;
    private final LeaseHandle lease;
    /** What waits until the proxy goes on after a pause. */
    private final List<Runnable> deferred = new ArrayList<>();

    private final SimulatedTokenBucket bucket = new SimulatedTokenBucket();
    /** The demand of each proxy per second, as it was last told. */
    private final double[] demands;
    /** When each proxy last told its demand, on this proxy's clock. */
    private final double[] heardMs;
    /** Null in the schemes without a manager. */
    private QuotaManager manager;
    /** Null in the schemes without a manager. */
    private LocalQuota localQuota;

    private long incarnation;
    private boolean killed;
    private boolean paused;

    /**
     * @param drift by how much its clock runs too fast, as a part
     * @param proxies by their indices, all of them when the simulation runs
     */
    SimulatedQuotaProxy(
            int index,
            double drift,
            Plan plan,
            VirtualClock clock,
            SplittableRandom random,
            SimulatedQuotaNetwork network,
            List<SimulatedQuotaProxy> proxies,
            LeaseHandle lease) {
        this.index = index;
        this.drift = drift;
        this.plan = plan;
        this.clock = clock;
        this.random = random;
        this.network = network;
        this.proxies = proxies;
        this.lease = lease;
        demands = new double[plan.proxies()];
        heardMs = new double[plan.proxies()];
    }

    /** Returns the id among its peers of the proxy with an index. */
    static long peerId(int index) {
        return index + 1L;
    }

    /** Returns the ids of so many proxies. */
    static List<Long> peerIds(int proxyCount) {
        return LongStream.rangeClosed(1, proxyCount).boxed().toList();
    }

    private static int indexOf(long peerId) {
        return (int) peerId - 1;
    }

    private double localNowMs() {
        return CLOCK_OFFSET_MS * index + clock.nowMs() * (1 + drift);
    }

    boolean isKilled() {
        return killed;
    }

    /** Returns whether it is neither killed nor paused. */
    boolean isRunning() {
        return !killed && !paused;
    }

    /** Starts the process, at the start of the simulation or after it was killed. */
    void start() {
        incarnation++;
        killed = false;
        deferred.clear();
        Arrays.fill(heardMs, Double.NEGATIVE_INFINITY);
        bucket.reset(localNowMs());
        if (plan.scheme() == Scheme.DEALER || plan.scheme() == Scheme.PEERS) {
            startManager();
        }
        scheduleTick(random.nextDouble() * FIRST_TICK_RANGE_MS);
    }

    private void startManager() {
        double nowMs = localNowMs();
        manager = new QuotaManager(
                peerId(index),
                plan.timing(),
                random.split(),
                nowMs - (clock.nowMs() == 0 ? INITIAL_UPTIME_MS : 0),
                peer -> true,
                (peer, message) -> send(indexOf(peer), message));
        manager.configure(
                List.of(plan.quota()),
                List.of(plan.scheme() == Scheme.PEERS ? LeaseHandle.UNHELD : lease),
                peerIds(plan.proxies()),
                plan.proxies(),
                false,
                true,
                nowMs);
        localQuota = manager.localQuota(plan.quota().name());
    }

    /** Ends the process. */
    void kill() {
        killed = true;
        incarnation++;
    }

    /** Makes it do nothing, until it is resumed; its clock goes on. */
    void pause() {
        paused = true;
    }

    /** Makes it go on; what came meanwhile comes before its timers, or after them, at random. */
    void resume() {
        paused = false;
        List<Runnable> waiting = List.copyOf(deferred);
        deferred.clear();
        waiting.forEach(event -> clock.at(clock.nowMs() + RESUME_RANGE_MS * random.nextDouble(), event));
    }

    private void scheduleTick(double delayMs) {
        long scheduledBy = incarnation;
        clock.at(clock.nowMs() + delayMs, () -> tick(scheduledBy));
    }

    private void tick(long scheduledBy) {
        if (killed || scheduledBy != incarnation) {
            return;
        }
        if (paused) {
            deferred.add(() -> tick(scheduledBy));
            return;
        }
        double nowMs = localNowMs();
        double delayMs;
        if (manager != null) {
            delayMs = Math.max(1, (manager.tick(nowMs) - nowMs) / (1 + drift));
        } else {
            bucket.setRate(plan.scheme() == Scheme.GOSSIP ? shareByDemand(nowMs) : equalShare());
            delayMs = plan.timing().requestIntervalMs();
        }
        scheduleTick(Math.min(delayMs, MAX_TICK_INTERVAL_MS));
    }

    private double equalShare() {
        return plan.quota().amount() / plan.proxies();
    }

    /** Tells all others this proxy's demand, and returns its part of the quota by the demands that it has heard of. */
    private double shareByDemand(double nowMs) {
        double demandPerSecond = bucket.drainRequested() * 1000 / plan.timing().requestIntervalMs();
        demands[index] += (demandPerSecond - demands[index]) / DEMAND_DIVISOR;
        heardMs[index] = nowMs;
        double total = 0;
        for (int i = 0; i < demands.length; i++) {
            total += nowMs - heardMs[i] < plan.timing().grantMs() ? demands[i] + MIN_DEMAND_PER_SECOND : 0;
        }
        for (int i = 0; i < demands.length; i++) {
            if (i != index) {
                sendDemand(i, demands[index]);
            }
        }
        return plan.quota().amount() * (demands[index] + MIN_DEMAND_PER_SECOND) / total;
    }

    private void send(int to, QuotaMessage message) {
        byte[] bytes = message.encode();
        network.send(index, to, () -> proxies.get(to).receive(index, bytes));
    }

    private void sendDemand(int to, double demandPerSecond) {
        network.send(index, to, () -> proxies.get(to).receiveDemand(index, demandPerSecond));
    }

    private void receive(int from, byte[] bytes) {
        if (killed) {
            return;
        }
        if (paused) {
            deferred.add(() -> receive(from, bytes));
            return;
        }
        double nowMs = localNowMs();
        QuotaMessage message = QuotaMessage.decode(bytes);
        manager.receive(nowMs, peerId(from), message);
        if (message.kind() != QuotaMessage.Kind.GRANT) {
            manager.tick(nowMs);
        }
    }

    private void receiveDemand(int from, double demandPerSecond) {
        if (killed) {
            return;
        }
        if (paused) {
            deferred.add(() -> receiveDemand(from, demandPerSecond));
            return;
        }
        demands[from] = demandPerSecond;
        heardMs[from] = localNowMs();
    }

    /** Admits or rejects a request; the proxy must be running. */
    boolean tryAdmit() {
        double nowMs = localNowMs();
        if (localQuota == null) {
            return bucket.tryTake(nowMs, plan.quota().burst() / plan.proxies());
        }
        if (localQuota.admissionWaitMs(nowMs) == 0) {
            localQuota.consume();
            return true;
        }
        if (manager.requestSoon(localQuota, nowMs)) {
            manager.tick(nowMs);
        }
        return false;
    }

    /** Returns a number that a restart changes. */
    long incarnation() {
        return incarnation;
    }

    /** Releases what an admitted request holds, unless the process that admitted it has ended. */
    void release(long admittedBy) {
        if (admittedBy == incarnation && localQuota != null) {
            localQuota.release();
        }
    }
}
