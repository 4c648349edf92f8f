/**
 * Decisions about sibling proxies: whether they are queried before the origin, which ones, and how long their replies
 * are awaited ({@link cacheproxy.siblings.SiblingQueryPolicy}, from the measurements in
 * {@link cacheproxy.siblings.SiblingStats}), which datagrams are replies to a query
 * ({@link cacheproxy.siblings.PendingQueries}), and how the queries of siblings are answered
 * ({@link cacheproxy.siblings.CacheDigest}, {@link cacheproxy.siblings.DenialLimiter}).
 *
 * <p>The caller owns the instances and confines each to its event loop. Nothing here does I/O, reads a clock or draws
 * random numbers; parameters {@code nowMs} are times of the caller's clock in milliseconds. The messages themselves are
 * defined in {@link cacheproxy.icp}.
 */
package cacheproxy.siblings;
