package cacheproxy.snapshot.state;

/**
 * The current identity of a server.
 *
 * @param id the server's id
 * @param address the server's address
 * @param startMs start time of its process, as given by the endpoint list
 */
public record CurrentServer(int id, String address, double startMs) {}
