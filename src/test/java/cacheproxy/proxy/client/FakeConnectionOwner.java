package cacheproxy.proxy.client;

import cacheproxy.proxy.request.RequestHandler;

/** A listener that accepts clients and hands their requests to a handler of the test. */
final class FakeConnectionOwner implements ConnectionOwner {
    private final RequestHandler handler;
    private boolean closesWhenIdle;

    /** Creates a listener without requests. */
    FakeConnectionOwner() {
        this((request, responder) -> {
            throw new UnsupportedOperationException();
        });
    }

    FakeConnectionOwner(RequestHandler handler) {
        this.handler = handler;
    }

    @Override
    public RequestHandler handler() {
        return handler;
    }

    @Override
    public MetaProtocol protocol() {
        return MetaProtocol.platform();
    }

    @Override
    public boolean closesWhenIdle(ClientConnection idle) {
        return closesWhenIdle;
    }

    /** Closes all connections between requests from now on. */
    void closeWhenIdle() {
        closesWhenIdle = true;
    }

    @Override
    public boolean acceptsClients() {
        return true;
    }

    @Override
    public double queuedSinceMs() {
        return 0;
    }

    @Override
    public void connectionIdle(ClientConnection idle) {}

    @Override
    public void connectionClosed(ClientConnection closed) {}
}
