package cacheproxy.proxy.client;

import cacheproxy.lifecycle.Lifecycle;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.unix.UnixChannelOption;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;

/** An address where clients connect, and the clients that came there. */
public final class Listener implements ClientConnection.Front {
    private static final int BACKLOG = 512;
    /** Where the loop has not looked for longer than this, connections may have queued up. */
    private static final double QUEUES_UP_MS = 25;
    /**
     * How long it may take to accept those that had queued up: one a turn of the loop, for as long as each turn has
     * one.
     */
    private static final double DRAINS_WITHIN_MS = 100;
    /** How long none is accepted after the system had none to give, for want of descriptors or memory. */
    private static final double ACCEPT_RETRY_MS = 20;

    private final EventLoopContext core;
    private final ClientRegistry clients;
    private final Set<ClientConnection> connections = new HashSet<>();
    private RequestHandler handler;
    private StandardMetaProtocol standardProtocol;
    private Channel channel;
    /** Connections whose place is under this end between requests. */
    private double endsUnder;

    private boolean acceptsClients = true;
    private boolean draining;
    /** Has the address until the channel has; null where there is none to wait for. */
    private Socket reserved;

    private long accepted;
    /**
     * Since when connections may have waited in the system's queue, until it has been seen empty; infinite where none
     * has.
     */
    private double queuedSinceMs = Double.POSITIVE_INFINITY;

    private double queueDrainsMs;
    private long acceptTurn;
    /** Whether the bound on clients lets connections be accepted. */
    private boolean mayAccept = true;

    private long acceptFailures;

    /** @param open what stock clients' commands are given; null for the platform's clients */
    public Listener(EventLoopContext core, ClientRegistry clients, RequestHandler handler, StandardMetaProtocol open) {
        this.core = core;
        this.clients = clients;
        this.handler = handler;
        this.standardProtocol = open;
    }

    /**
     * Takes the address without listening there until {@link #listen}: what connected before would wait in the system's
     * queue, its requests' time running, where a refused connection goes elsewhere at once. The exception says why it
     * can't be had.
     */
    public void reserve(SocketAddress address) throws IOException {
        Socket socket = new Socket();
        try {
            socket.setReuseAddress(true); // else the listening socket could not have the address as long as this has it
            socket.bind(address);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        reserved = socket;
    }

    /** Takes connections at the reserved address from now on, unless it drains already. */
    public Future<?> listen() {
        if (draining) {
            return core.loop.newSucceededFuture(null);
        }
        return bind(reserved.getLocalSocketAddress()).addListener(f -> unreserve());
    }

    private void unreserve() {
        try {
            if (reserved != null) {
                reserved.close();
            }
        } catch (IOException e) {
            // it has no connection that could be lost
        }
    }

    /** Gives the address back where it was only reserved. */
    public void close() {
        unreserve();
    }

    /** Binds; connections are taken from then on. Its future's channel has the address. */
    public ChannelFuture bind(SocketAddress address) {
        return bind(address, false);
    }

    /**
     * Binds; connections are taken from then on.
     *
     * @param shared whether another process may listen at the same address, which then shares its connections
     */
    public ChannelFuture bind(SocketAddress address, boolean shared) {
        ServerBootstrap bootstrap = bootstrap()
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true);
        if (shared && Transport.BEST.server() == EpollServerSocketChannel.class) {
            bootstrap.option(UnixChannelOption.SO_REUSEPORT, true);
        }
        return opened(bootstrap.bind(address));
    }

    /** Takes connections off a socket that listens already, and that another process may have, too. */
    public ChannelFuture adopt(int descriptor) {
        return opened(bootstrap()
                .channelFactory(() -> new EpollServerSocketChannel(descriptor))
                .register());
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(core.loop)
                .handler(new AcceptFailures())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(64 << 10, 128 << 10))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Transport.reads())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        ClientConnection client =
                                new ClientConnection(core, Listener.this, Lifecycle.closingPosition(accepted++));
                        connection.pipeline().addLast(client);
                        connections.add(client);
                        clients.connectionAccepted(client);
                    }
                });
    }

    /**
     * What the system says when it has no connection to give: one that was reset in its queue, too few descriptors or
     * buffers for a moment. Netty's own way is to accept nothing for a second, in which requests that wait in the queue
     * would run out of time.
     */
    private final class AcceptFailures extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            acceptFailures++;
            if ((acceptFailures & acceptFailures - 1)
                    == 0) { // the first, the second, the fourth: a shortage must not take all the log's lines
                core.log("accept failed, " + acceptFailures + " in all: " + cause.getMessage());
            }
            reading(false);
            core.after(ACCEPT_RETRY_MS, () -> {
                if (mayAccept && !draining) {
                    reading(true);
                }
            });
        }
    }

    /** For tests that have an accept fail. */
    public Channel channel() {
        return channel;
    }

    private ChannelFuture opened(ChannelFuture bound) {
        channel = bound.channel();
        core.loop.execute(() -> clients.add(this));
        return bound;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) (channel == null ? reserved.getLocalSocketAddress() : channel.localAddress());
    }

    void accept(boolean on) {
        mayAccept = on;
        reading(on);
    }

    private void reading(boolean on) {
        if (channel.config().isAutoRead() != on) {
            if (!on) {
                queuedSinceMs = Math.min(queuedSinceMs, core.now());
            }
            queueDrainsMs = core.now() + DRAINS_WITHIN_MS;
            acceptTurn = core.turn();
            channel.config().setAutoRead(on);
        }
    }

    /** Requests go there from now on, and get these defaults. */
    public void reconfigure(RequestHandler to, StandardMetaProtocol defaults) {
        handler = to;
        standardProtocol = defaults;
    }

    /** Takes no new connections; those that are there end between requests. To be called until it is empty. */
    public void drain() {
        stopListening();
        closeIdle(1);
    }

    /** Takes no new connections. */
    @SuppressWarnings("FutureReturnValueIgnored")
    public // the close is observed where the channel becomes inactive
    void stopListening() {
        if (!draining) {
            draining = true;
            if (channel == null) {
                unreserve();
                return;
            }
            // Another process may have the same socket. Then closing ours would not take it out of our selector.
            channel.deregister().addListener(f -> channel.close());
            clients.remove(this);
        }
    }

    /** Whether this process says that it takes clients. */
    public void acceptsClients(boolean yes) {
        acceptsClients = yes;
    }

    /** Connections of a place under this end between requests. To be called again until they have. */
    public void closeIdle(double under) {
        endsUnder = under;
        double now = core.now();
        for (ClientConnection c : new ArrayList<>(connections)) {
            if (closesWhenIdle(c) && c.isIdle() && (draining || c.hasHadTimeToAsk(now))) {
                c.finish();
            }
        }
    }

    /** Nothing that comes on standing connections is taken any more. */
    public void stopTakingRequests() {
        new ArrayList<>(connections).forEach(ClientConnection::stopTakingRequests);
    }

    /** The socket's descriptor; -1 where the kind of channel has none to give. */
    public int descriptor() {
        return channel instanceof EpollServerSocketChannel c ? c.fd().intValue() : -1;
    }

    public boolean isEmpty() {
        return connections.isEmpty();
    }

    public int connectionCount() {
        return connections.size();
    }

    @Override
    public RequestHandler handler() {
        return handler;
    }

    @Override
    public StandardMetaProtocol standardProtocol() {
        return standardProtocol;
    }

    @Override
    public boolean closesWhenIdle(ClientConnection client) {
        return client.closingPosition() < endsUnder;
    }

    /** What has queued up is accepted turn after turn; a turn without one has seen the queue empty. */
    @Override
    public double queuedSinceMs() {
        double unreadSinceMs = core.unreadSinceMs();
        double now = core.now();
        if (now > queueDrainsMs || !core.follows(acceptTurn)) {
            queuedSinceMs = Double.POSITIVE_INFINITY;
        }
        if (now - unreadSinceMs > QUEUES_UP_MS) {
            queuedSinceMs = Math.min(queuedSinceMs, unreadSinceMs);
            queueDrainsMs = now + DRAINS_WITHIN_MS;
        }
        acceptTurn = core.turn();
        return Math.min(queuedSinceMs, unreadSinceMs);
    }

    @Override
    public boolean acceptsClients() {
        return acceptsClients;
    }

    @Override
    public void connectionIdle(ClientConnection client) {
        clients.connectionIdle();
    }

    @Override
    public void connectionClosed(ClientConnection client) {
        connections.remove(client);
        clients.connectionClosed(client);
    }
}
