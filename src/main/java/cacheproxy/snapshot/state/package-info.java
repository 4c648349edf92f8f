/**
 * What a routing policy has learned, and how much of it is still valid for a process that starts later.
 *
 * <p>All types are immutable values and pure functions: no I/O, no clock, no threads. Durations and times are in
 * milliseconds; absolute times are Unix time. {@link cacheproxy.snapshot.state.StateSnapshot} decides which state fits
 * the current configuration and servers, {@link cacheproxy.snapshot.state.StateDecay} how much weight it has at its
 * age.
 */
package cacheproxy.snapshot.state;
