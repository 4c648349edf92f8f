/**
 * Limits on what the proxy accepts from clients and sends to servers: token buckets, retry budgets, slow-start budgets,
 * limits on a pool's pending requests and on connections.
 *
 * <p>These classes only make decisions. They do no I/O, read no clock and start no thread: each call carries the time
 * in milliseconds of the caller's monotonic clock, which must not go back within one object. Each object is owned by
 * the thread that runs its caller, which is the event loop in the proxy itself, and none is safe for use by several
 * threads.
 *
 * <ul>
 *   <li>{@link cacheproxy.limits.SlowStartBudget} and {@link cacheproxy.limits.ServerStartTimes} are shared by all
 *       pools of a process.
 *   <li>{@link cacheproxy.limits.PoolLimiter}, {@link cacheproxy.limits.RetryBudget} and
 *       {@link cacheproxy.limits.PoolAdmissionControl} belong to one pool.
 *   <li>{@link cacheproxy.limits.ServerCapacity} belongs to one server; all of them share one
 *       {@link cacheproxy.limits.ConnectionShortage}.
 * </ul>
 */
package cacheproxy.limits;
