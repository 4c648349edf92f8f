package cacheproxy.proxy.client;

import cacheproxy.proxy.request.RequestHandler;

/**
 * The listener of a client connection: provides its configuration and receives its events. Used on the event loop only.
 */
interface ConnectionOwner {
    /** The handler that receives the requests. */
    RequestHandler handler();

    /** The grammar of the commands. */
    MetaProtocol protocol();

    /** Returns whether this connection is to be closed as soon as it has no open request. */
    boolean closesWhenIdle(ClientConnection connection);

    /** Returns whether the response to {@code mn} says that the proxy accepts requests. */
    boolean acceptsClients();

    /**
     * Reports that a connection is accepted; returns the earliest time, in milliseconds, since which it may have been
     * waiting in the accept queue.
     */
    double queuedSinceMs();

    /** Reports that the last response has been written, so that the connection has no open request. */
    void connectionIdle(ClientConnection connection);

    /** Reports that the connection is closed. */
    void connectionClosed(ClientConnection connection);
}
