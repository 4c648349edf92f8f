/**
 * Checkers of the history of a fault test run, and statistics over it. {@link cacheproxy.faulttest.check.RunHistory}
 * holds a run's events in the order of time; each {@link cacheproxy.faulttest.check.Checker} checks it for one
 * invariant and returns {@link cacheproxy.faulttest.check.Violations}, which a
 * {@link cacheproxy.faulttest.check.Verdict} sums up; the {@code ...Stats} types compute statistics that no verdict
 * depends on.
 *
 * <p>Nothing here does I/O, reads a clock or keeps state between runs; a history is built and checked on one thread.
 */
package cacheproxy.faulttest.check;
