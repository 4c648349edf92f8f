/**
 * Fleet-wide quotas: limits on requests per second or on concurrent requests that all proxies of a fleet share.
 *
 * <p>Each proxy owns a static share of a quota and may spend it without requests to other proxies. A proxy that needs
 * more capacity requests it from an allocator; the allocator solicits donations of unused shares and distributes the
 * donated capacity by max-min fairness. The part of a quota that is in no proxy's share is granted only by the holder
 * of a lease ({@link cacheproxy.fleet.lease}). Grants and donations expire by the durations in
 * {@link cacheproxy.fleet.quota.QuotaTiming}, such that a grant ends before the donations that cover it. So the bound
 * in {@link cacheproxy.fleet.quota.OvershootBound} holds however many allocators there are and whatever messages are
 * lost.
 *
 * <p>{@link cacheproxy.fleet.quota.QuotaManager} owns all state of one proxy. It is confined to one thread, the
 * caller's event loop. Nothing here reads a clock, has its own source of randomness or does I/O. Parameters named
 * {@code nowMs} are times of the process's monotonic clock in milliseconds, and must not decrease.
 */
package cacheproxy.fleet.quota;
