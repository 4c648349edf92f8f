package cacheproxy.nginx.importer;

import java.util.Map;

/**
 * Settings that the daemon needs and that an nginx configuration does not contain.
 *
 * @param listenHost IP address of all listeners
 * @param listenPort port of the first listener; the others take the ports after it; 0: any free port for each
 * @param dial addresses to connect to, by server addresses as written in nginx's configuration; for host names, and for
 *     servers that have moved
 * @param writes effect of methods other than GET and HEAD: {@code unsafe}, {@code keyed} or {@code safe}
 * @param windowMs for {@code keyed}: how long servers drop repeated requests, in milliseconds
 */
public record ImportOptions(
        String listenHost, int listenPort, Map<String, String> dial, String writes, double windowMs) {}
