/**
 * The daemon's side of the fleet: carries what the decision packages under {@code cacheproxy.fleet} and
 * {@code cacheproxy.discovery} decide between peers, pools, requests and operators.
 *
 * <p>{@link cacheproxy.daemon.fleet.FleetSubsystem} is the subsystem: it opens the section {@code [fleet]}, drives
 * everything by one timer and answers the rest of the daemon. {@code FleetSocket} is the datagram socket between peers,
 * {@code FleetLeases} the leases, and each {@link cacheproxy.daemon.fleet.FleetProtocol} one exchange of messages under
 * its own topic: health checks, delegated watches of discovery, peer lists, quotas and membership.
 *
 * <p>All state is used on the event loop only; binding the socket is done elsewhere, before the subsystem takes its
 * place.
 */
package cacheproxy.daemon.fleet;
