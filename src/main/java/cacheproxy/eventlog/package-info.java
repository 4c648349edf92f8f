/**
 * The event log: one line for each event of a proxy, for tests and for operators who look into single requests.
 *
 * <p>{@link cacheproxy.eventlog.EventLog} may be used from any thread; it owns a queue, guarded by a lock, and the
 * thread that writes it. {@link cacheproxy.eventlog.ProxyEvent} lists the events. Scripts read the event names and the
 * field names, so they stay as they are.
 */
package cacheproxy.eventlog;
