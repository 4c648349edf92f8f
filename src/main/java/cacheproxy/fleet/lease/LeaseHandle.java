package cacheproxy.fleet.lease;

import java.util.List;

/**
 * What users of a lease see of it: whether they may act as its holder, and who may if they may not.
 *
 * <p>All times are of the process's monotonic clock in milliseconds.
 */
public interface LeaseHandle {
    /** The result of {@link #permit} where the action may not begin. */
    long NOT_PERMITTED = -1;

    /** A lease without holder and candidates. */
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
     * Asks for permission to begin a leader action. To be called immediately before each action, never in advance.
     *
     * @param actionMs how long the action takes at most; the lease is not given up before its end
     * @return the epoch to act under, as fencing token; {@link #NOT_PERMITTED} if the action may not begin
     */
    long permit(double nowMs, double actionMs);

    /** The time left of this process's grant; 0 if it does not hold the lease. */
    double remainingMs(double nowMs);

    /** The holder according to the last replies of the voters; {@link NameHash#NOBODY} if none or unknown. */
    long holder(double nowMs);

    /** The candidates by rank: whom to ask where the holder is unknown. */
    List<Long> candidateOrder();

    /** The lease's id, as in messages. */
    long id();
}
