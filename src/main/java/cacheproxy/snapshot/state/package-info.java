/**
 * What a routing policy has learned and how much of it still holds for a process that starts later.
 *
 * <p>All types are immutable values and pure functions: no I/O, no clock, no threads. Spans and times are milliseconds;
 * absolute times are Unix time. {@link cacheproxy.snapshot.state.StateSnapshot} decides which facts fit the present
 * configuration and servers, {@link cacheproxy.snapshot.state.StateDecay} how much weight they have by their age.
 */
package cacheproxy.snapshot.state;
