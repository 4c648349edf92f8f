package cacheproxy.proxy.discovery;

import cacheproxy.policy.Endpoint;
import java.net.SocketAddress;

/**
 * A server of the endpoint list.
 *
 * @param endpoint the server in the form that the policy uses
 * @param address the address to connect to
 */
public record ListedServer(Endpoint endpoint, SocketAddress address) {}
