/**
 * Decides how a process starts and stops serving: how many requests warm it up before it accepts clients
 * ({@link cacheproxy.lifecycle.WarmUpPlan}), and when it stops accepting connections and closes the open ones
 * ({@link cacheproxy.lifecycle.Lifecycle}).
 *
 * <p>This package is decision logic without I/O, clocks, threads or random numbers. Callers pass the time of one
 * monotonic clock in milliseconds and use each instance on one event loop.
 */
package cacheproxy.lifecycle;
