package cacheproxy.proxy.request;

/** Handles the requests that client connections submit. Used on the event loop only. */
public interface RequestHandler {
    /** A submitted request. */
    interface Handle {
        /** Reports that the client has closed its connection, so that no response will be sent. */
        void clientDisconnected();

        /**
         * Ends the value that has begun, as it does not arrive in time. The responder is told that it is aborted,
         * possibly from within this call; has no effect if no value is being received.
         */
        void cancelValue();
    }

    /**
     * Accepts a request that has been received completely. From then on, its value belongs to the handler, and the
     * responder gets exactly one response unless the client disconnects first.
     *
     * @return the submitted request; null if it already has its response
     */
    Handle submit(ClientRequest request, Responder responder);
}
