/**
 * Named leases among the proxies of a fleet: at any time at most one process may act as the holder of a lease.
 *
 * <p>The protocol is PaxosLease (Trencseni, Gazso, Reinhardt, 2012). Every process is a
 * {@link cacheproxy.fleet.lease.LeaseVoter voter} for the leases whose voters include it and a
 * {@link cacheproxy.fleet.lease.LeaseCandidate candidate} for those that it is configured with. A candidate becomes the
 * holder when a majority of the lease's {@link cacheproxy.fleet.lease.VoterSet voters} has granted its claim. Votes are
 * not stored: a restarted voter stays silent until each of its earlier grants has expired. Safety depends only on the
 * durations in {@link cacheproxy.fleet.lease.LeaseTiming} and on the bound on clock drift, not on message delay.
 *
 * <p>Each grant has an epoch, which grows from holder to holder and serves as fencing token: the receiver of a holder's
 * action rejects epochs older than the highest that it has seen ({@link cacheproxy.fleet.lease.FencingTokenCheck}).
 *
 * <p>{@link cacheproxy.fleet.lease.LeaseManager} owns the state of one process. It is confined to one thread, the
 * caller's event loop. Nothing here reads a clock, has its own source of randomness or does I/O: time, a seeded
 * generator and messages are passed in. Parameters named {@code nowMs} are times of the process's monotonic clock in
 * milliseconds.
 */
package cacheproxy.fleet.lease;
