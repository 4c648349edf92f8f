package cacheproxy.proxy.discovery;

import cacheproxy.policy.Endpoint;
import java.util.List;

/**
 * A response of discovery about the endpoint list.
 *
 * @param servers all servers, or those that have changed
 * @param complete whether {@code servers} is the complete list; else its changes, perhaps none
 * @param version of the list, by discovery's numbering, which increases until discovery restarts it
 */
record EndpointListUpdate(List<DiscoveryClient.Host> servers, boolean complete, long version) {
    /** The servers as the policy knows them, in their order. */
    List<Endpoint> endpoints() {
        return servers.stream().map(DiscoveryClient.Host::member).toList();
    }
}
