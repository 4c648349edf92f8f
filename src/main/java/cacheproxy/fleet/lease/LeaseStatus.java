package cacheproxy.fleet.lease;

/**
 * The status of a lease as known to one process.
 *
 * @param lease the name of the lease
 * @param heldHere whether this process may act as its holder
 * @param epoch the epoch of this process's last grant; 0 if there was none
 * @param remainingMs the time left of this process's grant; 0 if it does not hold the lease
 * @param holder the holder's id according to the last replies of the voters; {@link NameHash#NO_ID} if unknown or none
 */
public record LeaseStatus(String lease, boolean heldHere, long epoch, double remainingMs, long holder) {}
