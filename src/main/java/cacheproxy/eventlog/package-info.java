/**
 * The event log: one line for each event of a proxy, for tests and for operators who examine individual requests.
 *
 * <p>{@link cacheproxy.eventlog.EventLog} may be used from any thread; it owns a queue, guarded by a lock, and the
 * thread that writes the queued lines. {@link cacheproxy.eventlog.ProxyEvent} lists the events. Scripts read the names
 * of events and fields, so these must not change.
 */
package cacheproxy.eventlog;
