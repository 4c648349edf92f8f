/**
 * Invariants of the request path, checked at run time. {@link cacheproxy.invariant.SendGuard} checks an attempt right
 * before it is sent, because conditions that held when it was planned may have changed while it waited.
 * {@link cacheproxy.invariant.InvariantMonitor} counts stopped actions and violations.
 *
 * <p>This package is decision logic without I/O and clocks, used on the event loop that owns the requests.
 */
package cacheproxy.invariant;
