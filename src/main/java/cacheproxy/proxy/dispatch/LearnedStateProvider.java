package cacheproxy.proxy.dispatch;

import cacheproxy.proxy.discovery.ListedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.List;

/** Provides what an earlier pool or process has learned about the servers that a pool starts with. */
@FunctionalInterface
public interface LearnedStateProvider {
    /** Returns the state for these servers. Called once, with the first list that has a server, on the event loop. */
    LearnedState restore(double nowMs, List<ListedServer> servers);
}
