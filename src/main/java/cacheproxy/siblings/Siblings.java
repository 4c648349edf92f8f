package cacheproxy.siblings;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Endpoint;

/**
 * What the decision module needs to know of sibling caches: who they are, whether asking them is worth the wait, what
 * came of it.
 */
public interface Siblings {
    /** Whether this member is a sibling, which is no place for keys. */
    boolean is(Endpoint member);

    /**
     * How long siblings' answers about one key are worth waiting for; 0: they are not to be asked.
     *
     * @param fetchMs what a fetch at the origin usually takes
     * @param leftMs until the request's aim
     * @param pressure of the origin, from 1
     */
    double waitMs(double now, double fetchMs, double leftMs, double pressure);

    /** A value that a sibling has promised came, or did not. */
    void fetched(double now, int sibling, AttemptOutcome outcome, double elapsedMs);

    /** None. */
    Siblings NONE = new Siblings() {
        @Override
        public boolean is(Endpoint member) {
            return false;
        }

        @Override
        public double waitMs(double now, double fetchMs, double leftMs, double pressure) {
            return 0;
        }

        @Override
        public void fetched(double now, int sibling, AttemptOutcome outcome, double elapsedMs) {}
    };
}
