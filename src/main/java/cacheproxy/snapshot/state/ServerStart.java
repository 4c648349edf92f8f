package cacheproxy.snapshot.state;

/**
 * A known start of a server that is in no endpoint list.
 *
 * @param id the server's id
 * @param address the server's address
 * @param startMs Unix time of the start in milliseconds
 * @param down whether the server refused connections when the snapshot was taken: a process that answers there later
 *     has started since
 */
public record ServerStart(int id, String address, double startMs, boolean down) {}
