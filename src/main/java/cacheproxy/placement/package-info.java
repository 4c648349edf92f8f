/**
 * Placement: which servers a key belongs to, best first, and the limits that the routing policy checks before it sends
 * an attempt.
 *
 * <p>A {@link cacheproxy.placement.Placement} is built for each list of ready servers. Its ranking is a function of
 * that list and of the key alone, so all proxies with the same list rank servers in the same order:
 *
 * <ul>
 *   <li>{@link cacheproxy.placement.CarpPlacement}: the Cache Array Routing Protocol, draft-vinod-carp-v1-03;
 *   <li>{@link cacheproxy.placement.NginxHashPlacement}, {@link cacheproxy.placement.NginxConsistentPlacement}: nginx's
 *       {@code hash} directive without and with {@code consistent} (ketama);
 *   <li>{@link cacheproxy.placement.BackupPlacement}: ranks backup servers after the primary servers of another
 *       placement.
 * </ul>
 *
 * <p>{@link cacheproxy.placement.StartTimes} and {@link cacheproxy.placement.AdmissionControl} determine which servers
 * are warming up and how many requests they may receive. Nothing here does I/O, reads a clock or starts a thread.
 * Placements reuse buffers between calls, so each object is confined to the thread of the routing policy that owns it.
 */
package cacheproxy.placement;
