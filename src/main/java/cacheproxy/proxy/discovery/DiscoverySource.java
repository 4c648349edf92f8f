package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The discovery service that a pool's endpoint list comes from, and how the list is followed and read.
 *
 * @param address the address of the discovery service
 * @param initialList the list to start with, in discovery's JSON form; null if there is none
 * @param onDemand whether the list is followed only when the policy requests it; otherwise it is followed from the
 *     start
 * @param zones the zones of servers, in the policy's order
 * @param serverKinds the kinds of servers, in the policy's order
 */
public record DiscoverySource(
        InetSocketAddress address,
        JsonObject initialList,
        boolean onDemand,
        List<String> zones,
        List<String> serverKinds) {}
