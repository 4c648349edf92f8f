package cacheproxy.snapshot.state;

import java.util.ArrayList;
import java.util.List;

/**
 * Decays learned state by the time during which it was not updated. Each kind of state has its own half-life, according
 * to how long it usually stays valid; state whose weight has become too low to act on is dropped.
 */
public final class StateDecay {
    /** Half-life of a server's failures: after this time the server is as likely to be healthy again as not. */
    public static final double FAILURE_HALF_LIFE_MS = 60_000;

    /** Half-life of average latencies, which change with the time of day. */
    public static final double LATENCY_HALF_LIFE_MS = 1_800_000;

    /** Half-life of hot keys, which are hot for some minutes. */
    public static final double HOT_KEY_HALF_LIFE_MS = 120_000;

    /** Half-life of load counts, the same as in the routing policy. */
    public static final double LOAD_HALF_LIFE_MS = 4_000;

    /** Latencies with less weight are dropped. */
    static final double MIN_WEIGHT = 0.05;

    /** Load counts of fewer attempts are dropped. */
    private static final double MIN_LOAD = 0.5;

    private StateDecay() {}

    /**
     * Returns the learned state that is left after decay.
     *
     * @param ageMs milliseconds since the state was captured, not negative
     * @param trust 1 for a proxy's own state, less for another proxy's
     * @throws IllegalArgumentException if the age is negative or the trust is not within 0 to 1
     */
    public static LearnedState decay(LearnedState state, double ageMs, double trust) {
        if (!(ageMs >= 0) || !(trust >= 0 && trust <= 1)) {
            throw new IllegalArgumentException(
                    "state decay: age " + ageMs + " ms (expected 0 or more), trust " + trust + " (expected 0 to 1)");
        }
        double loadFraction = trust * remainingFraction(ageMs, LOAD_HALF_LIFE_MS);
        return new LearnedState(
                decayServers(state.servers(), ageMs, trust),
                decayLatency(state.latency(), trust * remainingFraction(ageMs, LATENCY_HALF_LIFE_MS)),
                decayLoad(state.originLoad(), loadFraction),
                decayLoad(state.serverLoad(), loadFraction),
                decayHotKeys(state.hotKeys(), trust * remainingFraction(ageMs, HOT_KEY_HALF_LIFE_MS)));
    }

    private static double remainingFraction(double ageMs, double halfLifeMs) {
        return Math.pow(0.5, ageMs / halfLifeMs);
    }

    private static List<LearnedServer> decayServers(List<LearnedServer> servers, double ageMs, double trust) {
        double fraction = trust * remainingFraction(ageMs, FAILURE_HALF_LIFE_MS);
        List<LearnedServer> remaining = new ArrayList<>();
        for (LearnedServer server : servers) {
            int failures = (int) Math.round(server.failures() * fraction);
            int overdueAttempts = (int) Math.round(server.overdueAttempts() * fraction);
            if (failures + overdueAttempts > 0) {
                double ejectedForMs = failures == 0 ? 0 : Math.max(0, server.ejectedForMs() - ageMs) * trust;
                remaining.add(
                        new LearnedServer(server.id(), server.startMs(), failures, ejectedForMs, overdueAttempts));
            }
        }
        return remaining;
    }

    private static LearnedLatency decayLatency(LearnedLatency latency, double fraction) {
        double weight = latency.weight() * fraction;
        return weight < MIN_WEIGHT
                ? LearnedState.NONE.latency()
                : new LearnedLatency(
                        latency.originMs(), latency.averageCost(), latency.averageMs(), latency.deviationMs(), weight);
    }

    private static LearnedLoad decayLoad(LearnedLoad load, double fraction) {
        return load.sent() * fraction < MIN_LOAD
                ? LearnedState.NONE.serverLoad()
                : new LearnedLoad(load.sent() * fraction, load.answered() * fraction);
    }

    private static LearnedHotKeys decayHotKeys(LearnedHotKeys hotKeys, double fraction) {
        List<LearnedHotKey> remaining = new ArrayList<>();
        for (LearnedHotKey hotKey : hotKeys.keys()) {
            int count = (int) (hotKey.count() * fraction);
            if (count > 0) {
                remaining.add(new LearnedHotKey(hotKey.key(), count));
            }
        }
        return remaining.isEmpty()
                ? LearnedState.NONE.hotKeys()
                : new LearnedHotKeys(hotKeys.total() * fraction, remaining);
    }
}
