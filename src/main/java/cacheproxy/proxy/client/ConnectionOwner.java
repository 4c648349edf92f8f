package cacheproxy.proxy.client;

import cacheproxy.proxy.request.RequestHandler;

/** What a client connection asks of its listener and reports to it; on the event loop. */
interface ConnectionOwner {
    /** The handler that gets the requests. */
    RequestHandler handler();

    /** The grammar of the commands. */
    MetaProtocol protocol();

    /** Whether this connection is to be closed as soon as it has no open request. */
    boolean closesWhenIdle(ClientConnection connection);

    /** Whether clients that ask by {@code mn} are told that the proxy takes requests. */
    boolean acceptsClients();

    /** The earliest time, in milliseconds, since when a connection that is accepted now may have waited for that. */
    double queuedSinceMs();

    /** The last response has been written; the connection has no open request. */
    void connectionIdle(ClientConnection connection);

    /** The connection is closed. */
    void connectionClosed(ClientConnection connection);
}
