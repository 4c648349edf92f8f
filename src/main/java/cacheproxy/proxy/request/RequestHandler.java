package cacheproxy.proxy.request;

/** What fronts hand requests to. */
public interface RequestHandler {
    /** A request in hand. */
    interface Handle {
        /** The client has left: no answer is owed any more, none will be given. */
        void clientDisconnected();
    }

    /**
     * Takes a request whose last byte has come. From here on its value belongs to the callee, and the responder gets
     * exactly one answer unless the client leaves before.
     */
    Handle submit(ClientRequest request, Responder responder);
}
