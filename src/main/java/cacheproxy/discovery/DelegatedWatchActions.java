package cacheproxy.discovery;

/** Actions that a {@link DelegatedWatch} requests from its owner. Called on the thread that calls the watch. */
public interface DelegatedWatchActions {
    /** Sends a message to all other proxies of the zone. */
    void send(WatchVersionMessage message);

    /** Sends a message to one proxy, given by its peer ID. */
    void send(long to, WatchVersionMessage message);

    /** Switches long-polling of discovery on or off. */
    void setLongPolling(boolean enabled);

    /** Polls discovery once, without waiting for a change. */
    void pollOnce();
}
