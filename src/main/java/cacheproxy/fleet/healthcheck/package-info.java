/**
 * Health checks of servers that a whole fleet shares, so that a failing server is not probed by every proxy.
 *
 * <p>Servers are divided into shares, and each share is a lease: its holder makes the checks that any proxy requests,
 * and sends the results under the lease's epoch as fencing token.
 * {@link cacheproxy.fleet.healthcheck.HealthCheckCoordinator} implements both roles: it requests checks, makes checks
 * for others, and falls back to its own check if no result arrives in time or if the results of others contradict what
 * it observes. So sharing saves checks, and never keeps a server out of use for longer than a few of them.
 *
 * <p>All state belongs to the fleet subsystem and is used on its event loop only. The package does no I/O and reads no
 * clock: callers pass the time in milliseconds of the monotonic clock.
 */
package cacheproxy.fleet.healthcheck;
