package cacheproxy.proxy.discovery;

/** Where a pool's endpoint list comes from, as the pool's routing policy asks for it. On the event loop only. */
public interface EndpointListSource {
    /** A source for lists that are given to the pool from elsewhere; does nothing. */
    EndpointListSource NONE = new EndpointListSource() {
        @Override
        public void watch(boolean enabled) {}

        @Override
        public void fetch() {}
    };

    /** Begins to follow changes of the list, or ends that. */
    void watch(boolean enabled);

    /** Asks for the whole list once. */
    void fetch();

    /** Ends all polls for good. */
    default void close() {}
}
