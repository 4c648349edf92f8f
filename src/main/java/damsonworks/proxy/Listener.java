package damsonworks.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;

/** An address where clients connect, and the clients that came there. */
public final class Listener implements ClientConnection.Front {
    private static final int BACKLOG = 512;

    private final Core core;
    private final Clients clients;
    private final Set<ClientConnection> own = new HashSet<>();
    private RequestHandler handler;
    private OpenMeta open;
    private Channel channel;
    private boolean draining;
    private boolean held;

    /** @param open what stock clients' commands are given; null for the platform's clients */
    public Listener(Core core, Clients clients, RequestHandler handler, OpenMeta open) {
        this.core = core;
        this.clients = clients;
        this.handler = handler;
        this.open = open;
    }

    /** Takes the address, but no connections before {@link #bound()}. */
    public ChannelFuture reserve(SocketAddress address) {
        held = true;
        return bind(address);
    }

    /** Takes connections from now on. */
    public void bound() {
        held = false;
        if (!draining) {
            accept(true);
        }
    }

    /** Gives the address back where it was only reserved. */
    public void close() {
        channel.close();
        core.loop.execute(() -> clients.remove(this));
    }

    /** Binds; connections are taken from then on. Its future's channel has the address. */
    public ChannelFuture bind(SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(core.loop).channel(Transport.BEST.server())
                .option(ChannelOption.AUTO_READ, !held).option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(64 << 10, 128 << 10))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        ClientConnection client = new ClientConnection(core, Listener.this);
                        connection.pipeline().addLast(client);
                        own.add(client);
                        clients.accepted(client);
                    }
                }).bind(address);
        channel = bound.channel();
        core.loop.execute(() -> clients.add(this));
        return bound;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    void accept(boolean on) {
        if (!held && channel.config().isAutoRead() != on) {
            channel.config().setAutoRead(on);
        }
    }

    /** Requests go there from now on, and get these defaults. */
    public void use(RequestHandler to, OpenMeta defaults) {
        handler = to;
        open = defaults;
    }

    /** Takes no new connections; those that are there end between requests. To be called until it is empty. */
    public void drain() {
        if (!draining) {
            draining = true;
            channel.close();
            clients.remove(this);
        }
        for (ClientConnection c : new ArrayList<>(own)) {
            if (c.idle()) {
                c.finish();
            }
        }
    }

    public boolean empty() {
        return own.isEmpty();
    }

    @Override
    public RequestHandler handler() {
        return handler;
    }

    @Override
    public OpenMeta open() {
        return open;
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public void left(ClientConnection client) {
        own.remove(client);
        clients.left(client);
    }
}
