package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * A {@code server} block.
 *
 * @param listens the sockets that it listens on; {@code *:80} by default
 * @param names parameters of {@code server_name}, patterns unchanged and others in lower case; can be empty
 * @param locations the locations on the server's level, which contain their nested locations
 */
public record ServerBlock(Directive directive, List<Listen> listens, List<String> names, List<Location> locations) {
    /**
     * A socket that it listens on.
     *
     * @param socket {@code address:port}, {@code *:port} for all addresses, or {@code unix:path}
     * @param isDefault whether the server is marked as the default server of this socket
     * @param directive the {@code listen}; null for the default of {@code *:80}
     */
    public record Listen(String socket, boolean isDefault, Directive directive) {}
}
