package cacheproxy.proxy.discovery;

/** Decides whether this proxy watches the endpoint list itself or leaves that to another proxy. */
public interface WatchCoordination {
    /** For a proxy that always watches the list itself. */
    WatchCoordination NONE = new WatchCoordination() {
        @Override
        public boolean shouldLongPoll() {
            return true;
        }

        @Override
        public void listReceived(long version) {}
    };

    /**
     * Returns whether a long poll is to be in flight at all times; otherwise only {@link DiscoveryClient#pollNow}
     * polls.
     */
    boolean shouldLongPoll();

    /** Reports that discovery has delivered a list of this version, or its changes. */
    void listReceived(long version);
}
