package cacheproxy.snapshot.state;

/**
 * A known start of a server that no endpoint list tells of.
 *
 * @param id the server's id
 * @param address the server's address
 * @param startMs Unix time of the start in milliseconds
 * @param down whether the server refused connections when the snapshot was taken: what answers there later has started
 *     since
 */
public record ServerStart(int id, String address, double startMs, boolean down) {}
