package cacheproxy.proxy.discovery;

/** The source of a pool's endpoint list, controlled by the pool's routing policy. Used on the event loop only. */
public interface EndpointListSource {
    /** A source that does nothing, for pools that get their lists from elsewhere. */
    EndpointListSource NONE = new EndpointListSource() {
        @Override
        public void watch(boolean enabled) {}

        @Override
        public void fetch() {}
    };

    /** Starts or stops following changes of the list. */
    void watch(boolean enabled);

    /** Requests the complete list once. */
    void fetch();

    /** Ends all polls permanently. */
    default void close() {}
}
