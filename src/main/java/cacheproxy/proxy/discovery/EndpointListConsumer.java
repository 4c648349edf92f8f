package cacheproxy.proxy.discovery;

import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicySettings;
import java.util.List;

/** The pool whose endpoint list a discovery client follows. Used on the event loop only. */
public interface EndpointListConsumer {
    /** The settings of the pool's policy, which define how many proxies poll and how soon. */
    PolicySettings settings();

    /** The seed of the pool's random draws. */
    long seed();

    /** Applies a complete list or changes to the list. */
    void endpointListReceived(EndpointListKind kind, List<ListedServer> servers);

    /** Sends a message to the proxy with this number, or to all proxies if the number is negative. */
    void sendToPeer(int peer, byte[] message);

    /** Writes a line for the operators. */
    void log(String line);
}
