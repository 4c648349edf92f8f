package cacheproxy.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/** A figure of several variants that are measured in turn, a value for each variant and round. */
final class RoundSamples<V> {
    private final Map<V, double[]> values = new LinkedHashMap<>();
    private final int rounds;

    RoundSamples(List<V> variants, int rounds) {
        this.rounds = rounds;
        variants.forEach(variant -> values.put(variant, new double[rounds]));
    }

    /** A measurement of one variant in one window of time. */
    interface Window<V> {
        /** Measures a variant. */
        void run(V variant) throws Exception;
    }

    /** Runs the windows of one round; each round begins with another variant, so that none is always the first. */
    static <V> void runRound(int round, List<V> variants, Window<V> window) throws Exception {
        for (int i = 0; i < variants.size(); i++) {
            window.run(variants.get((i + round) % variants.size()));
        }
    }

    /** Keeps a variant's value of a round. */
    void set(V variant, int round, double value) {
        values.get(variant)[round] = value;
    }

    /** A variant's value of a round. */
    double get(V variant, int round) {
        return values.get(variant)[round];
    }

    /** A variant's values, by round. */
    double[] of(V variant) {
        return values.get(variant).clone();
    }

    /** A figure that is computed of several variants' values in the same round, by round. */
    double[] byRound(IntToDoubleFunction figure) {
        double[] figures = new double[rounds];
        for (int round = 0; round < rounds; round++) {
            figures[round] = figure.applyAsDouble(round);
        }
        return figures;
    }

    /** How much greater a variant's values are than another's, by round. */
    double[] differences(V variant, V base) {
        return byRound(round -> get(variant, round) - get(base, round));
    }

    /** A variant's values divided by another's, by round. */
    double[] ratios(V variant, V base) {
        return byRound(round -> get(variant, round) / get(base, round));
    }

    /** A variant's values divided by the geometric mean of two others, by round. */
    double[] ratiosToMean(V variant, V base, V otherBase) {
        return byRound(round -> get(variant, round) / Math.sqrt(get(base, round) * get(otherBase, round)));
    }
}
