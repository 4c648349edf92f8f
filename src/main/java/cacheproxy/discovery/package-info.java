/**
 * Decides when a proxy polls the discovery service for its endpoint list, and how it finds out that a long poll has
 * silently stopped delivering updates.
 *
 * <ul>
 *   <li>{@link cacheproxy.discovery.DiscoveryPollScheduler} schedules the polls of one proxy: long polls, immediate
 *       polls, timeouts, and retries with capped exponential backoff and full jitter.
 *   <li>{@link cacheproxy.discovery.SilentWatchDetector} requests an extra poll when refused connections or the
 *       versions of other proxies suggest that the list is stale.
 *   <li>{@link cacheproxy.discovery.VersionGossip} announces a new list version to the other proxies.
 *   <li>{@link cacheproxy.discovery.DelegatedWatch} lets the holder of a lease long-poll on behalf of its zone.
 * </ul>
 *
 * <p>The classes are decision logic: they do no I/O, read no clock and start no thread. Callers pass the time of one
 * monotonic clock in milliseconds, and use each instance on one event loop, which owns its state. Only responses of
 * discovery change a list; messages between proxies carry versions and at most cause additional polls.
 */
package cacheproxy.discovery;
