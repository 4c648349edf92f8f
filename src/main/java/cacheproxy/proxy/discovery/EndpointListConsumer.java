package cacheproxy.proxy.discovery;

import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicySettings;
import java.util.List;

/** The pool whose endpoint list a discovery client follows. On the event loop only. */
public interface EndpointListConsumer {
    /** The settings of the pool's policy, which say how many proxies poll and how soon. */
    PolicySettings settings();

    /** The seed of the pool's random draws. */
    long seed();

    /** Takes over a list or the changes of one. */
    void endpointListReceived(EndpointListKind kind, List<ListedServer> servers);

    /** Sends a message to another proxy, or to all if the number is negative. */
    void sendToPeer(int peer, byte[] message);

    /** Writes a line for the operators. */
    void log(String line);
}
