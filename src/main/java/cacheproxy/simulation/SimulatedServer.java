package cacheproxy.simulation;

import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicySettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A cache server: one core, a queue of three requests, a cache without bound. */
final class SimulatedServer {
    /** The mean work of a request on a core of speed 1. */
    static final double WORK_MS = 50;

    private static final int QUEUE_CAPACITY = 3;
    private static final double FAST_SPEED = 1.8;
    private static final double SLOW_SPEED = 0.88;
    /** A miss is so much of the work of a hit. */
    private static final double MISS_WORK_FRACTION = 0.2;

    /** Bounds below which the allowance for chance is greater, and the factors and terms of both allowances. */
    private static final double SMALL_BUDGET = 30;

    private static final double SMALL_BUDGET_ROOTS = 3;
    private static final double SMALL_BUDGET_EXTRA = 3;
    private static final double BUDGET_ROOTS = 2;
    private static final double BUDGET_EXTRA = 2;

    /**
     * An attempt that came while the server was warming up.
     *
     * @param size its work, 1 in the mean
     * @param informed whether its proxy had been told of the start
     */
    private record ColdAttempt(double atMs, double size, boolean informed) {}

    /** A request that a server has taken, when it will be done, and whether the server had the key. */
    record Admission(double doneMs, boolean hit) {}

    final int id;
    final int zone;
    final double speed;
    /** It completes what it has, and takes nothing new. */
    boolean draining;
    /** Its process has ended: connections are refused. */
    boolean ended;
    /** It is cut off: nothing comes back. */
    boolean isolated;

    private final PolicySettings settings;
    private final Set<Long> cachedKeys = new HashSet<>();
    private final List<ColdAttempt> coldAttempts = new ArrayList<>();
    private double startedMs;
    private double busyUntilMs;
    private double maxColdLoadOfEarlierStarts;
    private double maxBudgetUseOfEarlierStarts;
    private int coldAttemptsOfEarlierStarts;

    /**
     * Three in five servers are twice as fast as the others.
     *
     * @param startedMs when its process started; 0: long ago
     * @param settings which say how it warms up
     */
    SimulatedServer(int id, int zones, double startedMs, PolicySettings settings) {
        this.id = id;
        this.zone = id % zones;
        this.startedMs = startedMs;
        this.settings = settings;
        speed = id % 5 < 3 ? FAST_SPEED : SLOW_SPEED;
    }

    /** Returns when its process started; 0: long ago. */
    double startedMs() {
        return startedMs;
    }

    /** Returns the server as an endpoint list has it. */
    Endpoint endpoint() {
        EndpointState state = draining ? EndpointState.DRAINING : EndpointState.READY;
        return new Endpoint(id, zone, 0, 0, state, 1, startedMs);
    }

    /** Starts anew, with an empty cache. */
    void restart(double nowMs) {
        maxColdLoadOfEarlierStarts = maxColdLoad();
        maxBudgetUseOfEarlierStarts = maxBudgetUse();
        coldAttemptsOfEarlierStarts = coldAttempts();
        coldAttempts.clear();
        draining = false;
        ended = false;
        isolated = false;
        startedMs = nowMs;
        busyUntilMs = 0;
        cachedKeys.clear();
    }

    /** The part of its full capacity that it has: it rises evenly over the warm-up. */
    private double capacityFraction(double nowMs) {
        if (startedMs == 0) {
            return 1;
        }
        double initial = settings.initialCapacityFraction();
        return Math.min(1, initial + (1 - initial) * (nowMs - startedMs) / settings.warmUpMs());
    }

    /** Returns whether it is warming up. */
    boolean isWarmingUp(double nowMs) {
        return capacityFraction(nowMs) < 1;
    }

    /** Records an attempt while it is warming up. */
    void recordColdAttempt(double nowMs, double size, boolean informed) {
        coldAttempts.add(new ColdAttempt(nowMs, size, informed));
    }

    /** Returns how many attempts came while it was warming up. */
    int coldAttempts() {
        return coldAttemptsOfEarlierStarts + coldAttempts.size();
    }

    /** Puts a key into its cache. */
    void cache(long key) {
        cachedKeys.add(key);
    }

    /**
     * Takes a request, unless it is draining or its queue is full.
     *
     * @param size the work of the request, 1 in the mean
     * @return null if it rejects the request
     */
    Admission admit(double nowMs, long key, double size) {
        if (draining || busyUntilMs > nowMs + QUEUE_CAPACITY * WORK_MS / speed) {
            return null;
        }
        boolean hit = cachedKeys.contains(key);
        busyUntilMs = Math.max(nowMs, busyUntilMs)
                + (hit ? 1 : MISS_WORK_FRACTION) * size * WORK_MS / speed / capacityFraction(nowMs);
        return new Admission(busyUntilMs, hit);
    }

    /** Returns the figure that {@link FleetSimulationResult#maxColdLoad} describes, of this server. */
    double maxColdLoad() {
        return Math.max(maxColdLoadOfEarlierStarts, maxOverWindows((work, count, capacity) -> count / capacity));
    }

    /** Returns the figure that {@link FleetSimulationResult#maxBudgetUse} describes, of this server. */
    double maxBudgetUse() {
        return Math.max(
                maxBudgetUseOfEarlierStarts,
                maxOverWindows(
                        (work, count, capacity) -> work / allowedWork(settings.collapseLoadMultiple() * capacity)));
    }

    /** Returns the budget with the rule's allowance for chance, in requests of mean work. */
    private static double allowedWork(double budget) {
        double root = Math.sqrt(budget);
        return budget < SMALL_BUDGET
                ? budget + SMALL_BUDGET_ROOTS * root + SMALL_BUDGET_EXTRA
                : budget + BUDGET_ROOTS * root + BUDGET_EXTRA;
    }

    /** What is judged of a window: attempts by work and by number, and the server's capacity in the window. */
    private interface WindowFigure {
        double of(double work, int count, double capacity);
    }

    /**
     * Returns the greatest figure over all windows of the time after which the server would collapse, leaving out those
     * in which a third or more of the attempts came from proxies that had not been told of the start.
     */
    private double maxOverWindows(WindowFigure figure) {
        double spanMs = settings.collapseAfterMs();
        double max = 0;
        double work = 0;
        int first = 0;
        int informed = 0;
        for (int last = 0; last < coldAttempts.size(); last++) {
            double endMs = coldAttempts.get(last).atMs();
            work += coldAttempts.get(last).size();
            informed += coldAttempts.get(last).informed() ? 1 : 0;
            for (; coldAttempts.get(first).atMs() < endMs - spanMs; first++) {
                work -= coldAttempts.get(first).size();
                informed -= coldAttempts.get(first).informed() ? 1 : 0;
            }
            int count = last - first + 1;
            if (3 * informed >= 2 * count) { // two thirds knew of the start
                double capacity = speed * capacityFraction(Math.max(startedMs, endMs - spanMs / 2)) * spanMs / WORK_MS;
                max = Math.max(max, figure.of(work, count, capacity));
            }
        }
        return max;
    }
}
