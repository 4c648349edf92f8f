/**
 * Invariants of the request path, checked at run time. {@link cacheproxy.invariant.SendGuard} checks an attempt right
 * before it is sent, as what was true when it was planned may have changed while it waited.
 * {@link cacheproxy.invariant.InvariantMonitor} counts what was stopped, and violations.
 *
 * <p>Decision logic without I/O and clocks, used on the event loop that owns the requests.
 */
package cacheproxy.invariant;
