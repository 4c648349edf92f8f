package cacheproxy.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Where the proxies of a tier receive each other's messages.
 *
 * @param listen the address to bind; null if this proxy takes no part
 * @param shared whether the next version of this process may bind the same address meanwhile
 * @param peers the addresses of the proxies by their numbers
 * @param all the address that reaches all proxies; null if there is none
 */
public record PeerAddresses(
        InetSocketAddress listen, boolean shared, List<InetSocketAddress> peers, InetSocketAddress all) {}
