package cacheproxy.siblings;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether siblings are asked before the origin is, whom, and for how long their answers are waited for. A question
 * costs every request that misses the wait; it gains where a sibling has the value and the origin is slow, throttled or
 * gone. So it is asked where the expected gain is more than the expected cost, by what was measured, and now and then
 * where that is not known. Pure; times in milliseconds, chance comes in as a number.
 */
public final class SiblingQueryPolicy {
    /** At most this part of what is left of the aim is spent on waiting. */
    static final double WAIT_SHARE = 0.25;
    /** Siblings asked about one key. */
    public static final int MOST_ASKED = 4;
    /** Where asking does not pay one question in so many is asked all the same, so that a change shows. */
    static final int EXPLORE = 50;
    /** Under pressure a fetch at the origin that is avoided is worth as many as this at most. */
    private static final double MOST_PRESSURE = 20;

    private SiblingQueryPolicy() {}

    /**
     * What to do about one key.
     *
     * @param siblings to ask, by their index; empty: none
     * @param waitMs how long to wait for the first hit
     */
    public record Plan(List<Integer> siblings, double waitMs) {
        static final Plan NONE = new Plan(List.of(), 0);
    }

    /**
     * Decides.
     *
     * @param fetchMs what a fetch at the origin usually takes
     * @param siblingMs what a fetch at a sibling usually takes
     * @param leftMs until the request's aim
     * @param pressure of the origin: asked for each answered in time, from 1
     * @param chance 0 to 1, uniform
     */
    public static Plan plan(
            double now,
            List<SiblingStats> records,
            double fetchMs,
            double siblingMs,
            double leftMs,
            double pressure,
            double chance) {
        double cap = leftMs * WAIT_SHARE;
        if (!(cap > 0) || records.isEmpty()) {
            return Plan.NONE;
        }
        List<Integer> able = new ArrayList<>();
        for (int i = 0; i < records.size(); i++) {
            SiblingStats r = records.get(i);
            if (r.mayAsk(now) && r.patienceMs(cap) <= cap * 2) { // one that is always too late is asked by trials only
                able.add(i);
            }
        }
        able.sort(
                (a, b) -> Double.compare(records.get(b).worth(), records.get(a).worth()));
        List<Integer> whom = able.subList(0, Math.min(MOST_ASKED, able.size()));
        if (whom.isEmpty()) {
            return Plan.NONE;
        }
        double wait = 0;
        double miss = 1;
        for (int i : whom) {
            wait = Math.max(wait, Math.min(cap, records.get(i).patienceMs(cap)));
            miss *= 1 - records.get(i).worth();
        }
        double hit = 1 - miss;
        double avoided = fetchMs * Math.min(MOST_PRESSURE, Math.max(1, pressure));
        boolean pays = hit * (avoided - siblingMs) > miss * wait;
        // What can't end in time needs no question: a sibling's value must still arrive.
        boolean inTime = wait + siblingMs <= leftMs;
        return inTime && (pays || chance * EXPLORE < 1) ? new Plan(List.copyOf(whom), wait) : Plan.NONE;
    }
}
