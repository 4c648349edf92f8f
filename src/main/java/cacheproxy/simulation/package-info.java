/**
 * Whole fleets of real decision code on one virtual clock, with the sums that no single proxy sees; used by tests and
 * benchmarks.
 *
 * <ul>
 *   <li>{@link cacheproxy.simulation.FleetSimulation}: proxies with the real routing policy ({@code SimulatedProxy}) in
 *       front of servers and an origin. {@code FleetWorkload} draws what clients ask for, {@code FleetFaults} injects
 *       faults, {@code FleetMetrics} keeps the sums.
 *   <li>{@link cacheproxy.simulation.QuotaSimulation}: proxies that share a quota ({@code SimulatedQuotaProxy}), the
 *       links between them ({@code SimulatedQuotaNetwork}) and the lease of the allocator
 *       ({@code SimulatedAllocatorLease}); {@code QuotaMetrics} keeps the sums.
 * </ul>
 *
 * <p>A simulation belongs to the thread that runs it. It reads no clock and has its random numbers from its seed, in an
 * order that is part of its results.
 */
package cacheproxy.simulation;
