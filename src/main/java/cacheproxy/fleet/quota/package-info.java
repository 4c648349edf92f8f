/**
 * Fleet-wide quotas: limits on requests per second or on concurrent requests that all proxies of a fleet share.
 *
 * <p>Each proxy owns a static share of a quota and may spend it without asking anybody. A proxy that needs more
 * requests capacity from an allocator; the allocator solicits donations of unused shares and grants what is donated by
 * max-min fairness. The part of a quota that is in nobody's share is granted only by the holder of a lease
 * ({@link cacheproxy.fleet.lease}). Grants and donations expire by the durations in
 * {@link cacheproxy.fleet.quota.QuotaTiming}, such that a grant ends before the donations that cover it. So the bound
 * in {@link cacheproxy.fleet.quota.OvershootBound} holds however many allocators there are and whatever messages are
 * lost.
 *
 * <p>{@link cacheproxy.fleet.quota.QuotaManager} owns all state of one proxy. It is confined to one thread, the
 * caller's event loop. Nothing here reads a clock, draws randomness of its own or does I/O. Parameters {@code nowMs}
 * are times of the process's monotonic clock in milliseconds, and must not go back.
 */
package cacheproxy.fleet.quota;
