/**
 * The daemon's {@code [memory]} section: pools start from the learned state of an earlier process, and their state is
 * saved periodically and at the end of the process.
 *
 * <p>Snapshots are read before the daemon serves requests and written on the writer's own thread; the event loop only
 * collects the state to be written. Disk failures are logged, and the daemon continues without a snapshot.
 */
package cacheproxy.daemon.snapshot;
