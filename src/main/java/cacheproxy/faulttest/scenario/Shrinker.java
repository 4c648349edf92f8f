package cacheproxy.faulttest.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds a shorter list of faults that still breaks what the whole list broke (delta debugging: Zeller and Hildebrandt,
 * "Simplifying and Isolating Failure-Inducing Input", 2002), then shorter faults, then fewer that each befalls. A run
 * of processes is no function of its faults alone, so each list is tried some times and counts as breaking if one try
 * does.
 */
public final class Shrinker {
    /** Runs a list of faults; whether it breaks what is looked for. */
    public interface Breaks {
        boolean with(List<Fault> faults) throws Exception;
    }

    private static final double SHORTEST_MS = 50;

    private final Breaks breaks;
    private final int tries;
    private int runsLeft;

    /**
     * @param tries of each list before it counts as harmless
     * @param mostRuns in all; what has been found by then is the answer
     */
    public Shrinker(Breaks breaks, int tries, int mostRuns) {
        if (tries < 1 || mostRuns < 1) {
            throw new IllegalArgumentException("tries " + tries + ", runs " + mostRuns);
        }
        this.breaks = breaks;
        this.tries = tries;
        runsLeft = mostRuns;
    }

    private boolean breaks(List<Fault> faults) throws Exception {
        for (int i = 0; i < tries && runsLeft > 0; i++) {
            runsLeft--;
            if (breaks.with(faults)) {
                return true;
            }
        }
        return false;
    }

    /** Null if the whole list does not break it either. */
    public List<Fault> shrink(List<Fault> all) throws Exception {
        if (!breaks(all)) {
            return null;
        }
        return narrower(shorter(fewer(new ArrayList<>(all))));
    }

    private List<Fault> fewer(List<Fault> faults) throws Exception {
        int parts = 2;
        List<Fault> now = faults;
        while (now.size() > 1 && runsLeft > 0) {
            int size = (now.size() + parts - 1) / parts;
            List<Fault> found = null;
            for (int from = 0; from < now.size() && found == null; from += size) {
                List<Fault> without = new ArrayList<>(now);
                without.subList(from, Math.min(now.size(), from + size)).clear();
                found = !without.isEmpty() && breaks(without) ? without : null;
            }
            if (found != null) {
                now = found;
                parts = Math.max(2, parts - 1);
            } else if (parts >= now.size()) {
                break;
            } else {
                parts = Math.min(now.size(), parts * 2);
            }
        }
        return now;
    }

    private List<Fault> shorter(List<Fault> faults) throws Exception {
        List<Fault> now = faults;
        for (int i = 0; i < now.size(); i++) {
            for (double half = now.get(i).forMs() / 2; half >= SHORTEST_MS && runsLeft > 0; half /= 2) {
                List<Fault> tried = new ArrayList<>(now);
                tried.set(i, now.get(i).lasting((double) Math.round(half)));
                if (!breaks(tried)) {
                    break;
                }
                now = tried;
            }
        }
        return now;
    }

    private List<Fault> narrower(List<Fault> faults) throws Exception {
        List<Fault> now = faults;
        for (int i = 0; i < now.size(); i++) {
            for (int w = now.get(i).who().size() - 1; w >= 0 && now.get(i).who().size() > 1 && runsLeft > 0; w--) {
                List<String> who = new ArrayList<>(now.get(i).who());
                who.remove(w);
                List<Fault> tried = new ArrayList<>(now);
                tried.set(i, now.get(i).befalling(who, now.get(i).to()));
                if (breaks(tried)) {
                    now = tried;
                }
            }
        }
        return now;
    }
}
