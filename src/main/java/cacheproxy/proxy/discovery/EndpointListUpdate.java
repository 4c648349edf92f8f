package cacheproxy.proxy.discovery;

import cacheproxy.policy.Endpoint;
import java.util.List;

/**
 * A response of discovery about the endpoint list.
 *
 * @param servers all servers, or those that have changed
 * @param complete whether {@code servers} is the complete list; otherwise its changes, possibly none
 * @param version the version of the list in discovery's numbering, which increases until discovery restarts it
 */
record EndpointListUpdate(List<ListedServer> servers, boolean complete, long version) {
    /** The servers in the form that the policy uses, in their order. */
    List<Endpoint> endpoints() {
        return servers.stream().map(ListedServer::endpoint).toList();
    }
}
