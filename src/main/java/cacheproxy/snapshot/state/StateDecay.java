package cacheproxy.snapshot.state;

import java.util.ArrayList;
import java.util.List;

/**
 * What is left of knowledge after a time in which nobody looked. Each kind of fact has a half-life of its own, by how
 * long such a thing usually lasts; what has become too weak to act on is dropped. Pure.
 */
public final class StateDecay {
    /** A server that failed so long ago is as likely sound again as not. */
    public static final double FAILURE_HALF_MS = 60_000;
    /** What is usual changes with the time of day. */
    public static final double PACE_HALF_MS = 1_800_000;
    /** A key that everyone wants is wanted for some minutes. */
    public static final double HOT_HALF_MS = 120_000;
    /** As the module's own counts fade. */
    public static final double LOAD_HALF_MS = 4_000;
    /** Less weight than this says nothing. */
    static final double LEAST_WEIGHT = 0.05;

    private static final double LEAST_LOAD = 0.5;

    private StateDecay() {}

    /**
     * What is left.
     *
     * @param ageMs since it was told, not negative
     * @param trust 1 for one's own, less for another's
     */
    public static LearnedState aged(LearnedState k, double ageMs, double trust) {
        if (!(ageMs >= 0) || !(trust >= 0 && trust <= 1)) {
            throw new IllegalArgumentException("age " + ageMs + ", trust " + trust);
        }
        List<LearnedState.Server> servers = new ArrayList<>();
        for (LearnedState.Server s : k.servers()) {
            double left = trust * left(ageMs, FAILURE_HALF_MS);
            int failures = (int) Math.round(s.failures() * left);
            int doubts = (int) Math.round(s.doubts() * left);
            if (failures + doubts > 0) {
                servers.add(new LearnedState.Server(
                        s.id(),
                        s.bornMs(),
                        failures,
                        failures == 0 ? 0 : Math.max(0, s.shunnedForMs() - ageMs) * trust,
                        doubts));
            }
        }
        return new LearnedState(
                servers,
                pace(k.pace(), trust * left(ageMs, PACE_HALF_MS)),
                load(k.fetches(), trust * left(ageMs, LOAD_HALF_MS)),
                load(k.crowd(), trust * left(ageMs, LOAD_HALF_MS)),
                hot(k.hot(), trust * left(ageMs, HOT_HALF_MS)));
    }

    private static double left(double ageMs, double halfMs) {
        return Math.pow(0.5, ageMs / halfMs);
    }

    private static LearnedState.Pace pace(LearnedState.Pace p, double left) {
        double weight = p.weight() * left;
        return weight < LEAST_WEIGHT
                ? LearnedState.NONE.pace()
                : new LearnedState.Pace(p.fetchMs(), p.usualCost(), p.usualMs(), p.deviationMs(), weight);
    }

    private static LearnedState.Load load(LearnedState.Load l, double left) {
        return l.asked() * left < LEAST_LOAD
                ? LearnedState.NONE.crowd()
                : new LearnedState.Load(l.asked() * left, l.answered() * left);
    }

    private static LearnedState.HotKeys hot(LearnedState.HotKeys h, double left) {
        List<LearnedState.HotKey> keys = new ArrayList<>();
        for (LearnedState.HotKey k : h.keys()) {
            int count = (int) (k.count() * left);
            if (count > 0) {
                keys.add(new LearnedState.HotKey(k.key(), count));
            }
        }
        return keys.isEmpty() ? LearnedState.NONE.hot() : new LearnedState.HotKeys(h.total() * left, keys);
    }
}
