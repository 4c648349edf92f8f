package cacheproxy.proxy.discovery;

import cacheproxy.policy.Endpoint;
import java.net.SocketAddress;

/**
 * A server of the endpoint list.
 *
 * @param endpoint the server as the policy knows it
 * @param address to connect to
 */
public record ListedServer(Endpoint endpoint, SocketAddress address) {}
