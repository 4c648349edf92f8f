package cacheproxy.fleet.lease;

import java.util.List;

/**
 * A lease as its users see it: whether they may act as its holder, and otherwise which process may.
 *
 * <p>All times are of the process's monotonic clock in milliseconds.
 */
public interface LeaseHandle {
    /** The result of {@link #permit} if the action may not begin. */
    long NOT_PERMITTED = -1;

    /** A lease without a holder or candidates. */
    LeaseHandle UNHELD = new LeaseHandle() {
        @Override
        public long permit(double nowMs, double actionMs) {
            return NOT_PERMITTED;
        }

        @Override
        public double remainingMs(double nowMs) {
            return 0;
        }

        @Override
        public long holder(double nowMs) {
            return NameHash.NO_ID;
        }

        @Override
        public List<Long> candidateOrder() {
            return List.of();
        }

        @Override
        public long id() {
            return NameHash.NO_ID;
        }
    };

    /**
     * Requests permission to begin an action as the holder. Must be called immediately before each action, never in
     * advance.
     *
     * @param actionMs the longest time that the action can take; the lease is not given up before the action has ended
     * @return the epoch to act under, as fencing token; {@link #NOT_PERMITTED} if the action may not begin
     */
    long permit(double nowMs, double actionMs);

    /** Returns the time left of this process's grant; 0 if it does not hold the lease. */
    double remainingMs(double nowMs);

    /**
     * Returns the holder according to the last replies of the voters; {@link NameHash#NO_ID} if there is none or it is
     * unknown.
     */
    long holder(double nowMs);

    /** Returns the candidates by rank, to be contacted if the holder is unknown. */
    List<Long> candidateOrder();

    /** Returns the lease's id, as used in messages. */
    long id();
}
