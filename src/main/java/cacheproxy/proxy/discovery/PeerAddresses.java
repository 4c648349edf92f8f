package cacheproxy.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The addresses at which the proxies of a tier receive each other's messages.
 *
 * @param listen the address to bind; null if this proxy does not exchange messages
 * @param shared whether the next version of this process can bind the same address while this process uses it
 * @param peers the addresses of the proxies, indexed by their numbers
 * @param all the address that reaches all proxies; null if there is none
 */
public record PeerAddresses(
        InetSocketAddress listen, boolean shared, List<InetSocketAddress> peers, InetSocketAddress all) {}
