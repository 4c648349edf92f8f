package cacheproxy.proxy.client;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.lifecycle.Lifecycle;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;

/**
 * A listening socket and the client connections that it accepted. Used on the event loop only, except for reserving and
 * binding its address.
 */
public final class Listener implements ConnectionOwner {
    /** How long accepting pauses after an accept has failed for lack of descriptors or memory. */
    private static final double ACCEPT_RETRY_MS = 20;

    private final EventLoopContext loopContext;
    private final ClientRegistry clients;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final AcceptQueue acceptQueue;
    private RequestHandler handler;
    private MetaProtocol protocol;
    private Channel channel;
    /** Holds the address until the channel is bound to it; null if none was reserved. */
    private ReservedAddress reserved;
    /** Connections with a closing position below this are closed once idle. */
    private double closingFraction;

    private boolean acceptsClients = true;
    private boolean draining;
    /** Whether the limit on client connections allows further ones to be accepted. */
    private boolean accepting = true;

    private long acceptedCount;
    private long failureCount;

    /** Creates a listener that has no address yet and that passes requests to the handler. */
    public Listener(
            EventLoopContext loopContext, ClientRegistry clients, RequestHandler handler, MetaProtocol protocol) {
        this.loopContext = loopContext;
        this.clients = clients;
        this.handler = handler;
        this.protocol = protocol;
        acceptQueue = new AcceptQueue(loopContext);
    }

    // ---- the address

    /**
     * Reserves the address without listening there until {@link #listen}.
     *
     * @throws IOException if the address can't be bound, with the system's reason
     */
    public void reserve(SocketAddress address) throws IOException {
        reserved = ReservedAddress.bind(address);
    }

    /** Accepts connections at the reserved address from now on, unless the listener is already draining. */
    public Future<?> listen() {
        if (draining) {
            return loopContext.loop().newSucceededFuture(null);
        }
        return bind(reserved.address()).addListener(bound -> releaseAddress());
    }

    /** Releases the address if one is reserved and not listened on. */
    public void close() {
        releaseAddress();
    }

    private void releaseAddress() {
        if (reserved != null) {
            reserved.close();
        }
    }

    /** Binds the address and accepts connections from then on. */
    public ChannelFuture bind(SocketAddress address) {
        return bind(address, false);
    }

    /** Like {@link #bind(SocketAddress)}; with {@code shared}, other processes may listen at the same address. */
    public ChannelFuture bind(SocketAddress address, boolean shared) {
        return register(bootstrap().bind(address, shared));
    }

    /** Accepts connections from a socket that is already listening, and that may be shared with another process. */
    public ChannelFuture adopt(int descriptor) {
        return register(bootstrap().adopt(descriptor));
    }

    private ListenerBootstrap bootstrap() {
        return new ListenerBootstrap(loopContext.loop(), new AcceptFailureHandler(), this::addConnection);
    }

    private ChannelFuture register(ChannelFuture bound) {
        channel = bound.channel();
        loopContext.loop().execute(() -> clients.add(this));
        return bound;
    }

    /** The channel that accepts connections; null if there is none. */
    public Channel channel() {
        return channel;
    }

    /** The address that this listener listens on or has reserved. */
    public InetSocketAddress address() {
        SocketAddress bound = channel == null ? null : channel.localAddress();
        return bound == null ? reserved.address() : (InetSocketAddress) bound;
    }

    /** The listening socket's file descriptor; -1 if this kind of channel has none. */
    public int descriptor() {
        return channel instanceof EpollServerSocketChannel epollChannel
                ? epollChannel.fd().intValue()
                : -1;
    }

    // ---- accepting

    private void addConnection(Channel accepted) {
        ClientConnection connection =
                new ClientConnection(loopContext, this, Lifecycle.closingPosition(acceptedCount++));
        accepted.pipeline().addLast(connection);
        connections.add(connection);
        clients.connectionAccepted(connection);
    }

    /** Creates the handler for a connection that this listener has not accepted itself. */
    public ChannelHandler newConnection() {
        ClientConnection connection = new ClientConnection(loopContext, this, 0);
        connections.add(connection);
        return connection;
    }

    /**
     * Handles errors of the accept system call: a connection that was reset in the queue, or a momentary shortage of
     * descriptors or buffers. By default, Netty accepts no connection for a second after such an error, and requests
     * that wait in the queue would time out.
     */
    private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            failureCount++;
            if (Long.bitCount(failureCount) == 1) { // logs the 1st, 2nd, 4th, ... only: log lines are limited
                loopContext.log("accept failed, " + failureCount + " in all: " + cause.getMessage());
            }
            setReading(false);
            loopContext.after(ACCEPT_RETRY_MS, () -> {
                if (accepting && !draining) {
                    setReading(true);
                }
            });
        }
    }

    /** Pauses or resumes accepting, to enforce the limit on client connections. */
    void setAccepting(boolean newAccepting) {
        accepting = newAccepting;
        setReading(newAccepting);
    }

    private void setReading(boolean reading) {
        if (channel.config().isAutoRead() != reading) {
            acceptQueue.acceptingChanged(reading);
            channel.config().setAutoRead(reading);
        }
    }

    /** Sends later requests to another handler, and parses later commands with another protocol. */
    public void reconfigure(RequestHandler newHandler, MetaProtocol newProtocol) {
        handler = newHandler;
        protocol = newProtocol;
    }

    // ---- draining

    /**
     * Stops listening and closes the connections once they are idle. To be called repeatedly until {@link #isEmpty}.
     */
    public void drain() {
        stopListening();
        closeIdle(1);
    }

    /** Accepts no further connections but those that wait to be accepted; open connections continue. */
    public void stopListening() {
        if (draining) {
            return;
        }
        draining = true;
        recordEndOfListening();
        if (channel == null) {
            releaseAddress();
            return;
        }
        // Another process may share the socket; closing our descriptor would then not remove the socket from our
        // selector.
        channel.deregister().addListener(deregistered -> new ListenerClose(loopContext, channel).start());
        clients.remove(this);
    }

    private void recordEndOfListening() {
        if (loopContext.events().isEnabled()) {
            loopContext
                    .events()
                    .line(ProxyEvent.STATE_CHANGED)
                    .with("state", "not_listening")
                    .with("accepted", acceptedCount)
                    .with("open", connections.size())
                    .write();
        }
    }

    /** Sets whether the response to {@code mn} says that the proxy accepts requests. */
    public void setAcceptsClients(boolean newAcceptsClients) {
        acceptsClients = newAcceptsClients;
    }

    /**
     * Closes connections once they are idle and nothing is unread, in the order of their closing positions. To be
     * called repeatedly, because further connections become idle and further clients have had the time to send their
     * first request.
     *
     * @param fraction the share of the connections to close, from 0 to 1
     */
    public void closeIdle(double fraction) {
        closingFraction = fraction;
        double nowMs = loopContext.nowMs();
        for (ClientConnection connection : connections) {
            if (connection.end().isDue() && (draining || connection.status().hasHadTimeToSendCommand(nowMs))) {
                connection.end().schedule();
            }
        }
    }

    /**
     * Rejects further requests of clients that have had the time to send one; their connections end after the last
     * response. To be called repeatedly, because further clients may connect.
     */
    public void rejectRequests() {
        double nowMs = loopContext.nowMs();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.status().hasHadTimeToSendCommand(nowMs)) {
                connection.end().rejectRequests();
            }
        }
    }

    /**
     * Rejects further requests on all connections, and those that have been read and not submitted; each connection
     * ends after its last response. Long values that have begun to arrive and of which nothing has been sent are
     * cancelled, as the responses behind them wait.
     */
    public void concludeConnections() {
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.end().rejectRequests();
            connection.rejectWaitingRequests();
            connection.cancelHeldValues();
        }
    }

    /** Returns whether no connection is open, and none can come. */
    public boolean isEmpty() {
        return connections.isEmpty() && (channel == null || !channel.isOpen());
    }

    /** The number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    // ---- for connections

    @Override
    public RequestHandler handler() {
        return handler;
    }

    @Override
    public MetaProtocol protocol() {
        return protocol;
    }

    @Override
    public boolean closesWhenIdle(ClientConnection connection) {
        return connection.closingPosition() < closingFraction;
    }

    @Override
    public boolean acceptsClients() {
        return acceptsClients;
    }

    @Override
    public double queuedSinceMs() {
        return acceptQueue.connectionAccepted();
    }

    @Override
    public void connectionIdle(ClientConnection connection) {
        clients.connectionIdle();
    }

    @Override
    public void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        clients.connectionClosed(connection);
    }
}
