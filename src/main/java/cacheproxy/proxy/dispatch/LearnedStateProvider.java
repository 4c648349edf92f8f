package cacheproxy.proxy.dispatch;

import cacheproxy.proxy.discovery.ListedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.List;

/** What an earlier pool or process has learned of the servers that a pool starts with. */
@FunctionalInterface
public interface LearnedStateProvider {
    /** The state for these servers. Called once, with the first list that has a server, on the event loop. */
    LearnedState restore(double nowMs, List<ListedServer> servers);
}
