package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;

/** The result of a request to discovery. */
sealed interface DiscoveryResponse {
    /**
     * Returns the body of a successful response.
     *
     * @throws DiscoveryException if the request failed, with the cause
     */
    JsonObject body();

    /** Returns whether nothing was received until the timeout. */
    boolean timedOut();

    /** A response with status 200 whose body is a JSON object. */
    record Received(JsonObject body) implements DiscoveryResponse {
        @Override
        public boolean timedOut() {
            return false;
        }
    }

    /** The request got no response, or one that is not a JSON object with status 200. */
    record Failed(String cause, boolean timedOut) implements DiscoveryResponse {
        @Override
        public JsonObject body() {
            throw new DiscoveryException(cause);
        }
    }
}
