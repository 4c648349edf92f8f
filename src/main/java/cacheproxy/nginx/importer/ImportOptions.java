package cacheproxy.nginx.importer;

import java.util.Map;

/**
 * What the configuration does not tell.
 *
 * @param listenHost address of all listeners
 * @param listenPort the first one's port, of which the others take the next; 0: any port for each
 * @param dial where servers are reached, by their addresses as written; for names, and for others to be moved
 * @param writes effect of methods other than GET and HEAD: {@code unsafe}, {@code keyed} or {@code safe}
 * @param windowMs for keyed: how long servers drop repeats
 */
public record ImportOptions(
        String listenHost, int listenPort, Map<String, String> dial, String writes, double windowMs) {}
