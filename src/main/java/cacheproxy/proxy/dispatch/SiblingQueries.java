package cacheproxy.proxy.dispatch;

import java.util.function.IntConsumer;

/**
 * A pool's link to sibling proxies: sends the pool's queries, and learns which keys the pool's servers hold. Used on
 * the event loop only.
 */
public interface SiblingQueries {
    /** The link of a pool without siblings; does nothing. */
    SiblingQueries NONE = new SiblingQueries() {
        @Override
        public void query(String key, double waitMs, IntConsumer response) {}

        @Override
        public String siblingClass(int server) {
            return null;
        }

        @Override
        public void readCompleted(String key, int server, boolean found) {}

        @Override
        public void writeCompleted(String key) {}
    };

    /**
     * Asks siblings about a key.
     *
     * @param waitMs how long to wait for their responses
     * @param response receives the id of the first sibling that has the key, or 0; called on the event loop at most
     *     once
     */
    void query(String key, double waitMs, IntConsumer response);

    /** The request class that a sibling expects; null if the server is not a sibling. */
    String siblingClass(int server);

    /** Called when a cache server has responded to a read, with or without a value. */
    void readCompleted(String key, int server, boolean found);

    /**
     * Called when an attempt of a write has ended, so that the value of the key that servers hold may be out of date.
     */
    void writeCompleted(String key);
}
