package cacheproxy.faulttest.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds a smaller list of faults that still violates an invariant: first fewer faults, by delta debugging (Zeller and
 * Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002), then shorter ones, then fewer targets of
 * each. As the outcome of a run is not determined by its faults alone, each list is run several times, and one
 * violation is enough.
 */
public final class Shrinker {
    /** One run of a list of faults. */
    public interface Trial {
        /** Whether the run violates an invariant. */
        boolean violates(List<Fault> faults) throws Exception;
    }

    /** Faults are not made shorter than this. */
    private static final double MIN_DURATION_MS = 50;

    private final Trial trial;
    private final int attempts;
    private int runsLeft;

    /**
     * Makes a shrinker; throws an IllegalArgumentException if a number is below 1.
     *
     * @param attempts number of runs of each list without a violation before it counts as harmless
     * @param maxRuns limit on the total number of runs; the smallest list found by then is the result
     */
    public Shrinker(Trial trial, int attempts, int maxRuns) {
        if (attempts < 1 || maxRuns < 1) {
            throw new IllegalArgumentException(
                    "tries and runs must be at least 1: tries " + attempts + ", runs " + maxRuns);
        }
        this.trial = trial;
        this.attempts = attempts;
        runsLeft = maxRuns;
    }

    /** Returns the smaller list; null if not even the whole list violates an invariant. */
    public List<Fault> shrink(List<Fault> all) throws Exception {
        if (!violates(all)) {
            return null;
        }
        return removeTargets(shortenFaults(removeFaults(new ArrayList<>(all))));
    }

    private boolean violates(List<Fault> faults) throws Exception {
        for (int i = 0; i < attempts && runsLeft > 0; i++) {
            runsLeft--;
            if (trial.violates(faults)) {
                return true;
            }
        }
        return false;
    }

    private List<Fault> removeFaults(List<Fault> faults) throws Exception {
        int partCount = 2;
        List<Fault> best = faults;
        while (best.size() > 1 && runsLeft > 0) {
            List<Fault> reduced = removePart(best, partCount);
            if (reduced != null) {
                best = reduced;
                partCount = Math.max(2, partCount - 1);
            } else if (partCount >= best.size()) {
                break;
            } else {
                partCount = Math.min(best.size(), partCount * 2);
            }
        }
        return best;
    }

    /**
     * Splits the list into this many parts and returns the first list without one of them that still violates an
     * invariant; null if none does.
     */
    private List<Fault> removePart(List<Fault> faults, int partCount) throws Exception {
        int partSize = (faults.size() + partCount - 1) / partCount;
        for (int from = 0; from < faults.size(); from += partSize) {
            List<Fault> without = new ArrayList<>(faults);
            without.subList(from, Math.min(faults.size(), from + partSize)).clear();
            if (!without.isEmpty() && violates(without)) {
                return without;
            }
        }
        return null;
    }

    private List<Fault> shortenFaults(List<Fault> faults) throws Exception {
        List<Fault> best = faults;
        for (int i = 0; i < best.size(); i++) {
            double durationMs = best.get(i).durationMs() / 2;
            while (durationMs >= MIN_DURATION_MS && runsLeft > 0) {
                List<Fault> candidate = new ArrayList<>(best);
                candidate.set(i, best.get(i).withDuration((double) Math.round(durationMs)));
                if (!violates(candidate)) {
                    break;
                }
                best = candidate;
                durationMs /= 2;
            }
        }
        return best;
    }

    private List<Fault> removeTargets(List<Fault> faults) throws Exception {
        List<Fault> best = faults;
        for (int i = 0; i < best.size(); i++) {
            int last = best.get(i).targets().size() - 1;
            for (int j = last; j >= 0 && best.get(i).targets().size() > 1 && runsLeft > 0; j--) {
                List<String> targets = new ArrayList<>(best.get(i).targets());
                targets.remove(j);
                List<Fault> candidate = new ArrayList<>(best);
                candidate.set(i, best.get(i).withTargets(targets, best.get(i).linkPeers()));
                if (violates(candidate)) {
                    best = candidate;
                }
            }
        }
        return best;
    }
}
