package cacheproxy.proxy.dispatch;

import java.util.function.IntConsumer;

/**
 * A pool's link to sibling proxies: carries its queries out and learns what its servers hold. On the event loop only.
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
     * @param response gets the id of the first sibling that has the key, or 0; called on the event loop at most once
     */
    void query(String key, double waitMs, IntConsumer response);

    /** The request class that a sibling expects; null if the server is no sibling. */
    String siblingClass(int server);

    /** A cache server has responded to a read, with a value or without. */
    void readCompleted(String key, int server, boolean found);

    /** An attempt of a write has ended, so that what servers hold of the key may be out of date. */
    void writeCompleted(String key);
}
