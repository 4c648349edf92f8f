/**
 * Stores a proxy's learned state in a file, so that a restarted proxy does not have to learn it again.
 *
 * <p>{@link cacheproxy.snapshot.SnapshotCodec} turns a snapshot into bytes and back without I/O; the format is
 * described for operators in {@code docs/operating/durable-learning.md}. {@link cacheproxy.snapshot.SnapshotStore}
 * keeps the newest two generations, replaced atomically by rename. {@link cacheproxy.snapshot.SnapshotWriter} writes on
 * a thread of its own, so that no event loop waits for a disk; all other types are confined to the thread that calls
 * them.
 */
package cacheproxy.snapshot;
