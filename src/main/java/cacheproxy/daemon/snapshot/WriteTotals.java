package cacheproxy.daemon.snapshot;

/**
 * What has been written since the writer started.
 *
 * @param files number of snapshot files
 * @param bytes their sizes in all
 */
public record WriteTotals(long files, long bytes) {}
