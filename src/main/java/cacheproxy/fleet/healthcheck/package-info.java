/**
 * Health checks of servers that a whole fleet shares, so that a failing server is not probed by every proxy.
 *
 * <p>Servers are divided into shares, and each share is a lease: its holder makes the checks that any proxy wants, and
 * sends them the results under the lease's epoch as fencing token.
 * {@link cacheproxy.fleet.healthcheck.HealthCheckCoordinator} is both sides of this: it asks for checks, answers those
 * of others, and falls back to its own check where no result comes in time or where the results of others contradict
 * what it observes. So sharing saves checks, and never keeps a server out of use for longer than a few of them.
 *
 * <p>All state belongs to the fleet's subsystem and is used on its event loop only. The package does no I/O and reads
 * no clock: callers pass the time in milliseconds of the monotonic clock.
 */
package cacheproxy.fleet.healthcheck;
