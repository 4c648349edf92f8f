/**
 * The daemon's {@code [memory]} section: pools start from the learned state of an earlier process, and their state is
 * saved periodically and at the end of the process.
 *
 * <p>Snapshots are read before the daemon serves and written on the writer's own thread; the event loop only takes the
 * state that is to be written. Failures of the disk are logged and the daemon goes on without a snapshot.
 */
package cacheproxy.daemon.snapshot;
