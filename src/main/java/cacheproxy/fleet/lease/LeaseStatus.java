package cacheproxy.fleet.lease;

/**
 * A lease as one process sees it.
 *
 * @param lease its name
 * @param heldHere whether this process may act as its holder
 * @param epoch of this process's own last grant; 0 if there was none
 * @param remainingMs of this process's own grant; 0 if it does not hold the lease
 * @param holder the holder's id according to the last replies of the voters; {@link NameHash#NOBODY} if unknown or none
 */
public record LeaseStatus(String lease, boolean heldHere, long epoch, double remainingMs, long holder) {}
