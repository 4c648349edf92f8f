package cacheproxy.snapshot.state;

/**
 * A server as it is now.
 *
 * @param id the server's id
 * @param address the server's address
 * @param startMs the start of its process, as the endpoint list tells it
 */
public record CurrentServer(int id, String address, double startMs) {}
