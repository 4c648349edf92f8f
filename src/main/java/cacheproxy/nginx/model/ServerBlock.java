package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * A {@code server} block.
 *
 * @param listens where it listens; {@code *:80} where it says nothing
 * @param names of {@code server_name}, in lower case but for patterns; may be empty
 * @param locations of its own block, nested ones within them
 */
public record ServerBlock(Directive directive, List<Listen> listens, List<String> names, List<Location> locations) {
    /**
     * A socket.
     *
     * @param socket {@code address:port}, {@code *:80} for all addresses, or {@code unix:path}
     * @param isDefault whether it is marked as the default server there
     */
    public record Listen(String socket, boolean isDefault, Directive directive) {}
}
