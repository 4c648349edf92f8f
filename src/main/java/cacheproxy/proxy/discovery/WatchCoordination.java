package cacheproxy.proxy.discovery;

/** Whether this proxy watches the endpoint list itself, or leaves that to another proxy. */
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

    /** Whether a long poll is to be in flight at all times; else only {@link DiscoveryClient#pollNow} polls. */
    boolean shouldLongPoll();

    /** Discovery has delivered a list of this version, or its changes. */
    void listReceived(long version);
}
