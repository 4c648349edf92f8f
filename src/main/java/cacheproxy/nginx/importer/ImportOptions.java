package cacheproxy.nginx.importer;

import java.util.Map;

/**
 * What an nginx configuration does not tell.
 *
 * @param listenHost literal address of all listeners
 * @param listenPort port of the first listener, of which the others take the next ones; 0: any free port for each
 * @param dial addresses of servers by their addresses as written: for host names, and for servers that have moved
 * @param writes effect of methods other than GET and HEAD: {@code unsafe}, {@code keyed} or {@code safe}
 * @param windowMs for {@code keyed}: how long servers drop repeated requests
 */
public record ImportOptions(
        String listenHost, int listenPort, Map<String, String> dial, String writes, double windowMs) {}
