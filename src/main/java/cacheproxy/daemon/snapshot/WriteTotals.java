package cacheproxy.daemon.snapshot;

/**
 * The number and size of the snapshots written since the writer started.
 *
 * @param files number of snapshot files
 * @param bytes total size of the files
 */
public record WriteTotals(long files, long bytes) {}
