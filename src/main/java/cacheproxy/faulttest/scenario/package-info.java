/**
 * Scenarios of fault tests: what a run consists of and which faults hit which endpoints when.
 * {@link cacheproxy.faulttest.scenario.Scenario} and {@link cacheproxy.faulttest.scenario.Fault} are values;
 * {@link cacheproxy.faulttest.scenario.RandomFaults} and {@link cacheproxy.faulttest.scenario.TargetSelector} draw from
 * a given seed alone, so that a scenario can be repeated.
 *
 * <p>Nothing here does I/O or reads a clock. {@link cacheproxy.faulttest.scenario.NetworkLinks} and
 * {@link cacheproxy.faulttest.scenario.Shrinker} are the only types with state: the first belongs to the event loop of
 * the relays, the second to the thread that shrinks.
 */
package cacheproxy.faulttest.scenario;
