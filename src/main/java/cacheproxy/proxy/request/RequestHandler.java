package cacheproxy.proxy.request;

/** What client connections submit requests to; on the event loop. */
public interface RequestHandler {
    /** A submitted request. */
    interface Handle {
        /** The client has closed its connection: there will be no response. */
        void clientDisconnected();
    }

    /**
     * Takes a request that has been received whole. From here on its value belongs to the handler, and the responder
     * gets exactly one response unless the client disconnects before.
     *
     * @return null if the request has its response already
     */
    Handle submit(ClientRequest request, Responder responder);
}
