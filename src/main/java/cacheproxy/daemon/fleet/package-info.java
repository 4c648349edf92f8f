/**
 * The fleet in the daemon: connects the decision logic under {@code cacheproxy.fleet} and {@code cacheproxy.discovery}
 * with peers, pools, requests and operators.
 *
 * <p>{@link cacheproxy.daemon.fleet.FleetSubsystem} is the subsystem: it is configured by the section {@code [fleet]},
 * drives everything by one timer and serves the rest of the daemon. {@code FleetSocket} is the datagram socket between
 * peers, {@code FleetLeases} manages the leases, and each {@link cacheproxy.daemon.fleet.FleetProtocol} exchanges
 * messages under its own topic: health checks, delegated watches of discovery, peer lists, quotas and membership.
 *
 * <p>All state is used on the event loop only; the socket is bound on another thread, before the subsystem is put in
 * place.
 */
package cacheproxy.daemon.fleet;
